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
    // The two smallest are kept, so that merging stays independent of the order.
    std::array<Incarnation, 3> engines{ fact.firstEngine, fact.secondEngine, engine };
    std::sort(engines.begin(), engines.end(), [](Incarnation a, Incarnation b) { return a - 1 < b - 1; });
    fact.firstEngine = engines[0];
    fact.secondEngine = engines[1];
}

bool sameKnowledge(const SuspectFact &a, const SuspectFact &b)
{
    const auto key = [](const SuspectFact &fact) {
        return std::tuple(fact.episode, fact.firstEngine, fact.secondEngine, fact.aloneStarted, fact.aloneCrashed, fact.exonerated);
    };
    return key(a) == key(b);
}

} // namespace

Suspicion suspicionOf(const SuspectFact &fact)
{
    if (fact.aloneCrashed) {
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
    merged.aloneStarted = a.aloneStarted || b.aloneStarted;
    merged.aloneCrashed = a.aloneCrashed || b.aloneCrashed;
    merged.exonerated = a.exonerated || b.exonerated;
    merged.age = std::min(a.age, b.age);
    return merged;
}

Suspects::Suspects(const SuspectOptions &options)
    : options_(options)
{
}

Micros Suspects::expiryOf(const Row &row) const
{
    const bool condemned = suspicionOf(row.fact) == Suspicion::Condemned;
    return row.changedAt + (condemned ? options_.condemnedLifetime : options_.suspectedLifetime);
}

Suspects::Row *Suspects::findRow(std::uint64_t fingerprint, Micros now)
{
    const auto found = rows_.find(fingerprint);
    if (found == rows_.end() || expiryOf(found->second) <= now) {
        return nullptr;
    }
    return &found->second;
}

void Suspects::touch(Row &row, Micros now)
{
    row.changedAt = now;
    row.changed = true;
}

void Suspects::dropOneIfFull()
{
    if (rows_.size() <= options_.maxFacts) {
        return;
    }
    const auto earlier = [this](const auto &a, const auto &b) { return expiryOf(a.second) < expiryOf(b.second); };
    rows_.erase(std::min_element(rows_.begin(), rows_.end(), earlier));
}

void Suspects::recordCrash(Incarnation engine, std::span<const std::uint64_t> inFlight, Micros now)
{
    for (const std::uint64_t fingerprint : inFlight) {
        Row *known = findRow(fingerprint, now);
        Row row = known != nullptr ? *known : Row{ .fact = { .fingerprint = fingerprint } };
        const SuspectFact before = row.fact;
        if (row.aloneHere) {
            row.fact.aloneCrashed = true;
            row.aloneHere = false;
        } else if (row.fact.exonerated && !row.fact.aloneCrashed && engine != row.fact.firstEngine && engine != row.fact.secondEngine) {
            row.fact = { .fingerprint = fingerprint, .episode = row.fact.episode + 1 };
        }
        addEngine(row.fact, engine);
        if (known == nullptr || !sameKnowledge(before, row.fact)) {
            touch(row, now);
        }
        rows_[fingerprint] = row;
        dropOneIfFull();
    }
}

bool Suspects::beginExclusiveRun(std::uint64_t fingerprint, Micros now)
{
    Row *row = findRow(fingerprint, now);
    if (row == nullptr) {
        // Another process knows of a crash that has not been heard of here; the run counts from now on.
        row = &(rows_[fingerprint] = Row{ .fact = { .fingerprint = fingerprint } });
    }
    if (row->fact.aloneStarted || suspicionOf(row->fact) == Suspicion::Condemned) {
        return row->fact.exonerated && !row->fact.aloneCrashed;
    }
    row->fact.aloneStarted = true;
    row->aloneHere = true;
    touch(*row, now);
    dropOneIfFull();
    return true;
}

void Suspects::exonerate(std::uint64_t fingerprint, Micros now)
{
    Row *row = findRow(fingerprint, now);
    if (row != nullptr && suspicionOf(row->fact) == Suspicion::Suspected) {
        row->fact.exonerated = true;
        touch(*row, now);
    }
}

void Suspects::endExclusiveRun(std::uint64_t fingerprint, bool completed, Micros now)
{
    Row *row = findRow(fingerprint, now);
    if (row == nullptr || !row->aloneHere) {
        return;
    }
    row->aloneHere = false;
    if (completed) {
        row->fact.exonerated = true;
        touch(*row, now);
    }
}

Suspicion Suspects::suspicion(std::uint64_t fingerprint, Micros now) const
{
    const auto found = rows_.find(fingerprint);
    return found == rows_.end() || expiryOf(found->second) <= now ? Suspicion::None : suspicionOf(found->second.fact);
}

bool Suspects::merge(const SuspectFact &fact, Micros now)
{
    Row arrived{ .fact = fact, .changedAt = now - fact.age };
    if (expiryOf(arrived) <= now) {
        return false;
    }
    Row *known = findRow(fact.fingerprint, now);
    if (known == nullptr) {
        arrived.changed = true;
        rows_[fact.fingerprint] = arrived;
        dropOneIfFull();
        return true;
    }
    const SuspectFact merged = mergeFacts(known->fact, fact);
    if (sameKnowledge(merged, known->fact)) {
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
    for (auto &[fingerprint, row] : rows_) {
        if (row.changed) {
            row.changed = false;
            facts.push_back(row.fact);
            facts.back().age = std::max<Micros>(0, now - row.changedAt);
        }
    }
    return facts;
}

std::vector<SuspectFact> Suspects::facts(Micros now) const
{
    std::vector<SuspectFact> facts;
    for (const auto &[fingerprint, row] : rows_) {
        if (expiryOf(row) > now) {
            facts.push_back(row.fact);
            facts.back().age = std::max<Micros>(0, now - row.changedAt);
        }
    }
    return facts;
}

void Suspects::expire(Micros now)
{
    std::erase_if(rows_, [this, now](const auto &row) { return expiryOf(row.second) <= now; });
}

std::size_t Suspects::size() const
{
    return rows_.size();
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
