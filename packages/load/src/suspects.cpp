#include "carobhall/suspects.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace Carobhall
{

namespace
{

void addEngine(SuspectFact &fact, Incarnation engine)
{
    if (engine == 0 || engine == fact.firstEngine || engine == fact.secondEngine) {
        return;
    }
    // Keeps the two smallest incarnations, so that the result of merging does not depend on the order. Subtracting 1 sorts 0 (no
    // engine) last.
    std::array<Incarnation, 3> engines{ fact.firstEngine, fact.secondEngine, engine };
    std::sort(engines.begin(), engines.end(), [](Incarnation a, Incarnation b) { return a - 1 < b - 1; });
    fact.firstEngine = engines[0];
    fact.secondEngine = engines[1];
}

bool equalExceptAge(const SuspectFact &a, const SuspectFact &b)
{
    const auto key = [](const SuspectFact &fact) {
        return std::tuple(fact.episode, fact.firstEngine, fact.secondEngine, fact.exclusiveRunStarted, fact.exclusiveRunCrashed, fact.exonerated);
    };
    return key(a) == key(b);
}

} // namespace

Suspicion suspicionOf(const SuspectFact &fact)
{
    if (fact.exclusiveRunCrashed) {
        return Suspicion::Condemned;
    }
    if (fact.exonerated) {
        return Suspicion::None;
    }
    if (fact.secondEngine != 0) {
        return Suspicion::Condemned;
    }
    return fact.firstEngine != 0 ? Suspicion::Suspected : Suspicion::None;
}

SuspectFact mergeFacts(const SuspectFact &a, const SuspectFact &b)
{
    if (a.episode != b.episode) {
        return a.episode > b.episode ? a : b;
    }
    SuspectFact merged = a;
    addEngine(merged, b.firstEngine);
    addEngine(merged, b.secondEngine);
    merged.exclusiveRunStarted = a.exclusiveRunStarted || b.exclusiveRunStarted;
    merged.exclusiveRunCrashed = a.exclusiveRunCrashed || b.exclusiveRunCrashed;
    merged.exonerated = a.exonerated || b.exonerated;
    merged.age = std::min(a.age, b.age);
    return merged;
}

Suspects::Suspects(const SuspectOptions &options)
    : options_(options)
{
}

Micros Suspects::expiryOf(const Entry &entry) const
{
    const bool condemned = suspicionOf(entry.fact) == Suspicion::Condemned;
    return entry.changedAt + (condemned ? options_.condemnedLifetime : options_.suspectedLifetime);
}

Suspects::Entry *Suspects::findEntry(std::uint64_t fingerprint, Micros now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || expiryOf(found->second) <= now) {
        return nullptr;
    }
    return &found->second;
}

void Suspects::markChanged(Entry &entry, Micros now)
{
    entry.changedAt = now;
    entry.changed = true;
}

void Suspects::evictIfFull()
{
    if (entries_.size() <= options_.maxFacts) {
        return;
    }
    const auto expiresEarlier = [this](const auto &a, const auto &b) { return expiryOf(a.second) < expiryOf(b.second); };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), expiresEarlier));
}

void Suspects::recordCrash(Incarnation engine, std::span<const std::uint64_t> inFlight, Micros now)
{
    for (const std::uint64_t fingerprint : inFlight) {
        Entry *known = findEntry(fingerprint, now);
        Entry entry = known != nullptr ? *known : Entry{ .fact = { .fingerprint = fingerprint } };
        const SuspectFact before = entry.fact;
        if (entry.runsExclusively) {
            entry.fact.exclusiveRunCrashed = true;
            entry.runsExclusively = false;
        } else if (entry.fact.exonerated && !entry.fact.exclusiveRunCrashed && engine != entry.fact.firstEngine && engine != entry.fact.secondEngine) {
            entry.fact = { .fingerprint = fingerprint, .episode = entry.fact.episode + 1 };
        }
        addEngine(entry.fact, engine);
        if (known == nullptr || !equalExceptAge(before, entry.fact)) {
            markChanged(entry, now);
        }
        entries_[fingerprint] = entry;
        evictIfFull();
    }
}

bool Suspects::beginExclusiveRun(std::uint64_t fingerprint, Micros now)
{
    Entry *entry = findEntry(fingerprint, now);
    if (entry == nullptr) {
        // Another process knows of a crash of which this process has not been informed yet. The exclusive run is recorded here, too.
        entry = &(entries_[fingerprint] = Entry{ .fact = { .fingerprint = fingerprint } });
    }
    if (entry->fact.exclusiveRunStarted || suspicionOf(entry->fact) == Suspicion::Condemned) {
        return entry->fact.exonerated && !entry->fact.exclusiveRunCrashed;
    }
    entry->fact.exclusiveRunStarted = true;
    entry->runsExclusively = true;
    markChanged(*entry, now);
    evictIfFull();
    return true;
}

void Suspects::exonerate(std::uint64_t fingerprint, Micros now)
{
    Entry *entry = findEntry(fingerprint, now);
    if (entry != nullptr && suspicionOf(entry->fact) == Suspicion::Suspected) {
        entry->fact.exonerated = true;
        markChanged(*entry, now);
    }
}

void Suspects::endExclusiveRun(std::uint64_t fingerprint, bool completed, Micros now)
{
    Entry *entry = findEntry(fingerprint, now);
    if (entry == nullptr || !entry->runsExclusively) {
        return;
    }
    entry->runsExclusively = false;
    if (completed) {
        entry->fact.exonerated = true;
        markChanged(*entry, now);
    }
}

Suspicion Suspects::suspicion(std::uint64_t fingerprint, Micros now) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() || expiryOf(found->second) <= now ? Suspicion::None : suspicionOf(found->second.fact);
}

bool Suspects::merge(const SuspectFact &fact, Micros now)
{
    Entry arrived{ .fact = fact, .changedAt = now - fact.age };
    if (expiryOf(arrived) <= now) {
        return false;
    }
    Entry *known = findEntry(fact.fingerprint, now);
    if (known == nullptr) {
        arrived.changed = true;
        entries_[fact.fingerprint] = arrived;
        evictIfFull();
        return true;
    }
    const SuspectFact merged = mergeFacts(known->fact, fact);
    if (equalExceptAge(merged, known->fact)) {
        return false;
    }
    known->fact = merged;
    known->changedAt = std::max(known->changedAt, arrived.changedAt);
    known->changed = true;
    return true;
}

std::vector<SuspectFact> Suspects::takeChanged(Micros now)
{
    std::vector<SuspectFact> facts;
    for (auto &[fingerprint, entry] : entries_) {
        if (entry.changed) {
            entry.changed = false;
            facts.push_back(entry.fact);
            facts.back().age = std::max<Micros>(0, now - entry.changedAt);
        }
    }
    return facts;
}

std::vector<SuspectFact> Suspects::facts(Micros now) const
{
    std::vector<SuspectFact> facts;
    for (const auto &[fingerprint, entry] : entries_) {
        if (expiryOf(entry) > now) {
            facts.push_back(entry.fact);
            facts.back().age = std::max<Micros>(0, now - entry.changedAt);
        }
    }
    return facts;
}

void Suspects::expire(Micros now)
{
    std::erase_if(entries_, [this, now](const auto &entry) { return expiryOf(entry.second) <= now; });
}

std::size_t Suspects::size() const
{
    return entries_.size();
}

std::size_t exclusiveRunTarget(std::uint64_t fingerprint, std::span<const std::string> candidates)
{
    std::size_t best = NoCandidate;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t score = XXH3_64bits_withSeed(candidates[i].data(), candidates[i].size(), fingerprint);
        if (best == NoCandidate || score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Carobhall
