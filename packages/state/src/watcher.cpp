#include "carobhall/platform.h"

#include <algorithm>
#include <set>

namespace Carobhall
{

struct ObjectWatcher::Impl : std::enable_shared_from_this<Impl> {
    enum class State : std::uint8_t { Idle, Listing, Watching };

    Impl(PlatformClient &platform, WatcherOptions watcherOptions)
        : client(platform)
        , options(std::move(watcherOptions))
        , backoff(options.retryBase, options.retryCap)
    {
    }

    bool matches(const PlatformObject &object) const
    {
        return options.name.empty() || object.name == options.name;
    }

    void tick(Micros now);
    void list(Micros now);
    void onListed(const PlatformReply &reply, Micros now);
    void openWatch(Micros now);
    void onEvent(std::uint64_t generation, const WatchEvent &event, Micros now);
    /// Returns whether \p object was delivered.
    bool deliverIfNewer(PlatformObject object, Micros now);
    void retry(Micros now);
    Micros jittered(Micros interval);

    PlatformClient &client;
    WatcherOptions options;
    Backoff backoff;
    State state = State::Idle;
    bool listNeeded = true;
    Micros retryAt = 0;
    Micros relistAt = 0;
    std::uint64_t version = 0;
    std::uint64_t firstVersion = 0; ///< Of the first list of the era of `version`: objects with a higher version were written in that era.
    bool isSettling = false;        ///< No list has been requested since settleAt.
    Micros settleAt = 0;            ///< End of the grace of the era of `version`.
    Micros listedAt = 0;            ///< When the last list was requested.
    std::uint64_t generation = 0;
    WatchId watch = 0;
    std::map<std::string, std::uint64_t> versions;
};

Micros ObjectWatcher::Impl::jittered(Micros interval)
{
    return std::uniform_int_distribution<Micros>(interval / 2, interval)(client.generator());
}

void ObjectWatcher::Impl::tick(Micros now)
{
    if (state == State::Idle && now >= retryAt) {
        if (listNeeded || (isSettling && now >= settleAt)) {
            list(now);
        } else {
            openWatch(now);
        }
        return;
    }
    if (state == State::Watching && now >= relistAt) {
        // A watch that is open but broken cannot be distinguished from one without changes. Only a new list reveals missed changes.
        client.cancelWatch(watch);
        ++generation;
        list(now);
    }
}

void ObjectWatcher::Impl::retry(Micros now)
{
    state = State::Idle;
    retryAt = now + backoff.next(client.generator());
}

void ObjectWatcher::Impl::list(Micros now)
{
    state = State::Listing;
    listedAt = now;
    client.call(listCall(options.kind), now, [weak = weak_from_this()](const PlatformReply &reply, Micros at) {
        if (const auto self = weak.lock()) {
            self->onListed(reply, at);
        }
    });
}

void ObjectWatcher::Impl::onListed(const PlatformReply &reply, Micros now)
{
    if (reply.error || reply.listVersion < version) {
        // A list older than the known version comes from a stale replica.
        logEvent(LogLevel::Info, "list_failed",
                 { { "kind", options.kind },
                   { "version", revisionOf(reply.listVersion) },
                   { "before", revisionOf(version) },
                   { "era", eraOf(reply.listVersion) },
                   { "era_before", eraOf(version) },
                   { "error", reply.error } });
        retry(now);
        return;
    }
    const bool isStart = version == 0;
    if (isStart || eraOf(reply.listVersion) != eraOf(version)) {
        firstVersion = reply.listVersion;
        isSettling = !isStart || (options.onSettled && eraOf(reply.listVersion) != 0);
        settleAt = now + options.restoreGrace;
    }
    // The store has had the whole grace when it made a list that was requested after it.
    const bool isSettled = isSettling && listedAt >= settleAt;
    std::set<std::string> present;
    for (const PlatformObject &object : reply.items) {
        present.insert(object.name);
        const bool isNew = deliverIfNewer(object, now);
        if (!isNew && options.onUnchanged && matches(object)) {
            options.onUnchanged(object, now);
        }
        if (isSettled && options.onSettled && object.version <= firstVersion && matches(object)) {
            options.onSettled(object, now);
        }
    }
    isSettling = isSettling && !isSettled;
    for (auto it = versions.begin(); it != versions.end();) {
        // A copy lacks objects that were created after it was made. Their writers write them again.
        if ((isSettling && eraOf(it->second) < eraOf(reply.listVersion)) || present.contains(it->first)) {
            ++it;
            continue;
        }
        const bool isLost = eraOf(it->second) < eraOf(reply.listVersion);
        if (const auto &handler = isLost && options.onLost ? options.onLost : options.onDeleted) {
            handler(it->first, now);
        }
        it = versions.erase(it);
    }
    logEvent(LogLevel::Info, "objects_listed",
             { { "kind", options.kind },
               { "count", reply.items.size() },
               { "version", revisionOf(reply.listVersion) },
               { "before", revisionOf(version) },
               { "era", eraOf(reply.listVersion) } });
    version = reply.listVersion;
    listNeeded = false;
    relistAt = isSettling ? settleAt : now + jittered(options.relistEvery);
    openWatch(now);
}

void ObjectWatcher::Impl::openWatch(Micros now)
{
    if (client.era() > eraOf(version)) {
        // The platform was restored while no watch was open.
        listNeeded = true;
        retry(now);
        return;
    }
    state = State::Watching;
    if (!isSettling && relistAt <= now) {
        relistAt = now + jittered(options.relistEvery);
    }
    const std::uint64_t current = ++generation;
    watch = client.watch(options.kind, version, now, [weak = weak_from_this(), current](const WatchEvent &event, Micros at) {
        if (const auto self = weak.lock()) {
            self->onEvent(current, event, at);
        }
    });
}

bool ObjectWatcher::Impl::deliverIfNewer(PlatformObject object, Micros now)
{
    if (!matches(object)) {
        return false;
    }
    std::uint64_t &known = versions[object.name];
    if (object.version <= known) {
        return false;
    }
    known = object.version;
    object.isWrittenInEra = object.version > firstVersion;
    options.onObject(object, now);
    return true;
}

void ObjectWatcher::Impl::onEvent(std::uint64_t eventGeneration, const WatchEvent &event, Micros now)
{
    if (eventGeneration != generation) {
        return;
    }
    switch (event.type) {
    case WatchEventType::Alive:
        return;
    case WatchEventType::Put:
        backoff.reset();
        deliverIfNewer(event.object, now);
        version = std::max(version, event.object.version);
        return;
    case WatchEventType::Deleted:
        version = std::max(version, event.object.version);
        if (versions.erase(event.object.name) > 0 && options.onDeleted) {
            options.onDeleted(event.object.name, now);
        }
        return;
    case WatchEventType::Gone:
        listNeeded = true;
        retry(now);
        return;
    case WatchEventType::Closed:
        retry(now);
        return;
    }
}

ObjectWatcher::ObjectWatcher(PlatformClient &client, WatcherOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options)))
{
}

ObjectWatcher::~ObjectWatcher()
{
    ++impl_->generation;
    if (impl_->state == Impl::State::Watching) {
        impl_->client.cancelWatch(impl_->watch);
    }
}

void ObjectWatcher::tick(Micros now)
{
    impl_->tick(now);
}

bool ObjectWatcher::isWatching() const
{
    return impl_->state == Impl::State::Watching;
}

std::uint64_t ObjectWatcher::version() const
{
    return impl_->version;
}

} // namespace Carobhall
