#include "carobhall/leases.h"

namespace Carobhall
{

// OrderGate ---------------------------------------------------------------------------------------

void OrderGate::learn(FencingToken token)
{
    highest_ = std::max(highest_, token);
}

std::error_code OrderGate::admit(FencingToken token, const std::string &order)
{
    if (highest_ == 0) {
        return Errc::PlatformUnavailable;
    }
    if (token < highest_) {
        return Errc::StaleFencingToken;
    }
    if (token == admitted_ && order != order_) {
        return Errc::Conflict;
    }
    highest_ = token;
    admitted_ = token;
    order_ = order;
    return {};
}

// OrderRunner -------------------------------------------------------------------------------------

struct OrderRunner::Impl : std::enable_shared_from_this<Impl> {
    enum class Phase : std::uint8_t { Idle, Server, Slot, Ready, Sent, Settling };

    Impl(Leases &held, OrderRunnerOptions runnerOptions)
        : leases(held)
        , options(std::move(runnerOptions))
    {
    }

    void acquireServer(Micros now);
    void onServer(std::uint64_t run, const LeaseAnswer &answer, Micros now);
    void acquireSlot(Micros now);
    void onSlot(std::uint64_t run, const LeaseAnswer &answer, Micros now);
    void trySend(Micros now);
    bool leasesLast(Micros now) const;
    void onReply(std::uint64_t run, Verdict verdict, std::error_code error, Micros now);
    void answer(Verdict verdict, std::error_code error, Micros now);
    void giveUp(std::error_code error, Micros now);
    void releaseBoth(bool orderDone, Micros now);
    void tick(Micros now);

    /// Wraps a handler so that it only runs for the order that it belongs to.
    template<typename Handler>
    auto forThisRun(Handler handler)
    {
        return [weak = weak_from_this(), current = runs, handler](auto &&...args) {
            if (const auto impl = weak.lock(); impl && impl->runs == current) {
                (impl.get()->*handler)(current, args...);
            }
        };
    }

    Leases &leases;
    OrderRunnerOptions options;
    OrderGate gate;
    OrderRunnerStats stats;
    Phase phase = Phase::Idle;
    EngineOrder order;
    OrderHandler done;
    LeaseRequest server;
    LeaseRequest slot;
    FencingToken slotToken = 0;
    Micros deadline = 0; ///< Of the time until the order is sent.
    Micros settledAt = 0;
    std::uint64_t runs = 0;
};

void OrderRunner::Impl::answer(Verdict verdict, std::error_code error, Micros now)
{
    const OrderHandler handler = std::move(done);
    done = nullptr;
    if (handler) {
        handler(verdict, error, now);
    }
}

void OrderRunner::Impl::releaseBoth(bool orderDone, Micros now)
{
    phase = Phase::Idle;
    if (order.loadsWeights) {
        leases.release(slot.name, now);
    }
    if (orderDone) {
        leases.finish(server.name, now);
    } else {
        leases.release(server.name, now);
    }
}

void OrderRunner::Impl::giveUp(std::error_code error, Micros now)
{
    releaseBoth(false, now);
    answer(Verdict::NotRun, error, now);
}

void OrderRunner::Impl::acquireServer(Micros now)
{
    phase = Phase::Server;
    leases.acquire(server, now, forThisRun(&Impl::onServer));
}

void OrderRunner::Impl::onServer(std::uint64_t /*run*/, const LeaseAnswer &given, Micros now)
{
    if (given.decision == LeaseDecision::Done) {
        phase = Phase::Idle;
        answer(Verdict::Ran, {}, now);
        return;
    }
    if (given.decision == LeaseDecision::Refused) {
        phase = Phase::Idle;
        answer(Verdict::NotRun, given.error, now);
        return;
    }
    order.fencing = given.token;
    gate.learn(given.token);
    deadline = now + slot.timeout;
    if (order.loadsWeights) {
        acquireSlot(now);
    } else {
        phase = Phase::Ready;
    }
}

void OrderRunner::Impl::acquireSlot(Micros now)
{
    phase = Phase::Slot;
    leases.acquire(slot, now, forThisRun(&Impl::onSlot));
}

void OrderRunner::Impl::onSlot(std::uint64_t /*run*/, const LeaseAnswer &given, Micros now)
{
    if (given.decision != LeaseDecision::Granted) {
        giveUp(given.error, now);
        return;
    }
    slotToken = given.token;
    phase = Phase::Ready;
}

bool OrderRunner::Impl::leasesLast(Micros now) const
{
    const bool slotLasts = !order.loadsWeights || leases.mayAct(slot.name, slotToken, now, options.loadBound);
    return slotLasts && leases.mayAct(server.name, order.fencing, now, options.callBound);
}

void OrderRunner::Impl::trySend(Micros now)
{
    if (now >= deadline) {
        giveUp(Errc::PlatformUnavailable, now);
        return;
    }
    if (const std::error_code refused = gate.admit(order.fencing, order.id)) {
        ++stats.stale;
        giveUp(refused, now);
        return;
    }
    // The process may have been paused since `now` was read.
    const Micros fresh = options.clock();
    if (!leasesLast(fresh)) {
        ++stats.heldBack;
        return;
    }
    ++stats.sent;
    phase = Phase::Sent;
    settledAt = fresh + (order.loadsWeights ? options.loadBound : options.callBound);
    options.send(order, forThisRun(&Impl::onReply));
}

void OrderRunner::Impl::onReply(std::uint64_t /*run*/, Verdict verdict, std::error_code error, Micros now)
{
    if (phase != Phase::Sent) {
        return;
    }
    if (verdict == Verdict::MayHaveRun) {
        // The engine may be loading for up to the bound, and the slot counts that load.
        phase = Phase::Settling;
    } else {
        releaseBoth(verdict == Verdict::Ran, now);
    }
    answer(verdict, error, now);
}

void OrderRunner::Impl::tick(Micros now)
{
    if (phase == Phase::Ready) {
        trySend(now);
    } else if (phase == Phase::Sent && now >= settledAt) {
        releaseBoth(false, now);
        answer(Verdict::MayHaveRun, Errc::Timeout, now);
    } else if (phase == Phase::Settling && now >= settledAt) {
        releaseBoth(false, now);
    }
}

OrderRunner::OrderRunner(Leases &leases, OrderRunnerOptions options)
    : impl_(std::make_shared<Impl>(leases, std::move(options)))
{
}

OrderRunner::~OrderRunner() = default;

void OrderRunner::run(EngineOrder order, Micros now, OrderHandler done)
{
    if (impl_->phase != Impl::Phase::Idle) {
        done(Verdict::NotRun, Errc::Overloaded, now);
        return;
    }
    ++impl_->runs;
    impl_->server = serverLease(impl_->options.server, order.id);
    impl_->slot = loadSlot(order.id, impl_->options.loadBound);
    impl_->order = std::move(order);
    impl_->done = std::move(done);
    impl_->acquireServer(now);
}

void OrderRunner::tick(Micros now)
{
    const auto keepAlive = impl_;
    impl_->tick(now);
}

bool OrderRunner::isIdle() const
{
    return impl_->phase == Impl::Phase::Idle;
}

OrderGate &OrderRunner::gate()
{
    return impl_->gate;
}

const OrderRunnerStats &OrderRunner::stats() const
{
    return impl_->stats;
}

} // namespace Carobhall
