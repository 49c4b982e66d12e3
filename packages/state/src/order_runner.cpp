#include "carobhall/leases.h"

namespace Carobhall
{

// OrderGate ---------------------------------------------------------------------------------------

void OrderGate::observeToken(FencingToken token)
{
    highestToken_ = std::max(highestToken_, token);
}

std::error_code OrderGate::admit(FencingToken token, const std::string &order)
{
    if (highestToken_ == 0) {
        return Errc::PlatformUnavailable;
    }
    if (token < highestToken_) {
        return Errc::StaleFencingToken;
    }
    if (token == admittedToken_ && order != admittedOrder_) {
        return Errc::Conflict;
    }
    highestToken_ = token;
    admittedToken_ = token;
    admittedOrder_ = order;
    return {};
}

// OrderRunner -------------------------------------------------------------------------------------

struct OrderRunner::Impl : std::enable_shared_from_this<Impl> {
    enum class Phase : std::uint8_t { Idle, AcquiringServerLease, AcquiringLoadSlot, Ready, Sent, OutcomeUnknown };

    Impl(Leases &processLeases, OrderRunnerOptions runnerOptions)
        : leases(processLeases)
        , options(std::move(runnerOptions))
    {
    }

    void acquireServerLease(Micros now);
    void onServerLease(std::uint64_t run, const LeaseAnswer &deliverAnswer, Micros now);
    void acquireLoadSlot(Micros now);
    void onLoadSlot(std::uint64_t run, const LeaseAnswer &deliverAnswer, Micros now);
    void trySend(Micros now);
    bool leasesCoverAction(Micros now) const;
    void onReply(std::uint64_t run, Verdict verdict, std::error_code error, Micros now);
    void deliverAnswer(Verdict verdict, std::error_code error, Micros now);
    void abandon(std::error_code error, Micros now);
    void releaseLeases(bool orderDone, Micros now);
    void tick(Micros now);

    /// Wraps a handler so that it is ignored once another run has started.
    template<typename Handler>
    auto forCurrentRun(Handler handler)
    {
        return [weak = weak_from_this(), current = runId, handler](auto &&...args) {
            if (const auto impl = weak.lock(); impl && impl->runId == current) {
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
    LeaseRequest serverRequest;
    LeaseRequest slotRequest;
    FencingToken slotToken = 0;
    Micros sendDeadline = 0; ///< Latest time to send the order.
    Micros actionEndsBy = 0;
    std::uint64_t runId = 0;
};

void OrderRunner::Impl::deliverAnswer(Verdict verdict, std::error_code error, Micros now)
{
    const OrderHandler handler = std::move(done);
    done = nullptr;
    if (handler) {
        handler(verdict, error, now);
    }
}

void OrderRunner::Impl::releaseLeases(bool orderDone, Micros now)
{
    phase = Phase::Idle;
    if (order.loadsWeights) {
        leases.release(slotRequest.name, now);
    }
    if (orderDone) {
        leases.finish(serverRequest.name, now);
    } else {
        leases.release(serverRequest.name, now);
    }
}

void OrderRunner::Impl::abandon(std::error_code error, Micros now)
{
    releaseLeases(false, now);
    deliverAnswer(Verdict::NotRun, error, now);
}

void OrderRunner::Impl::acquireServerLease(Micros now)
{
    phase = Phase::AcquiringServerLease;
    leases.acquire(serverRequest, now, forCurrentRun(&Impl::onServerLease));
}

void OrderRunner::Impl::onServerLease(std::uint64_t /*run*/, const LeaseAnswer &leaseAnswer, Micros now)
{
    if (leaseAnswer.decision == LeaseDecision::Done) {
        phase = Phase::Idle;
        deliverAnswer(Verdict::Ran, {}, now);
        return;
    }
    if (leaseAnswer.decision == LeaseDecision::Refused) {
        phase = Phase::Idle;
        deliverAnswer(Verdict::NotRun, leaseAnswer.error, now);
        return;
    }
    order.leaseToken = leaseAnswer.token;
    gate.observeToken(leaseAnswer.token);
    sendDeadline = now + slotRequest.timeout;
    if (order.loadsWeights) {
        acquireLoadSlot(now);
    } else {
        phase = Phase::Ready;
    }
}

void OrderRunner::Impl::acquireLoadSlot(Micros now)
{
    phase = Phase::AcquiringLoadSlot;
    leases.acquire(slotRequest, now, forCurrentRun(&Impl::onLoadSlot));
}

void OrderRunner::Impl::onLoadSlot(std::uint64_t /*run*/, const LeaseAnswer &leaseAnswer, Micros now)
{
    if (leaseAnswer.decision != LeaseDecision::Granted) {
        abandon(leaseAnswer.error, now);
        return;
    }
    slotToken = leaseAnswer.token;
    phase = Phase::Ready;
}

bool OrderRunner::Impl::leasesCoverAction(Micros now) const
{
    const bool slotCoversAction = !order.loadsWeights || leases.isValid(slotRequest.name, slotToken, now, options.maxLoadTime);
    return slotCoversAction && leases.isValid(serverRequest.name, order.leaseToken, now, options.maxCallTime);
}

void OrderRunner::Impl::trySend(Micros now)
{
    if (now >= sendDeadline) {
        abandon(Errc::PlatformUnavailable, now);
        return;
    }
    if (const std::error_code refused = gate.admit(order.leaseToken, order.id)) {
        ++stats.refusedByGate;
        abandon(refused, now);
        return;
    }
    // Reads the clock again, because the process may have been paused since `now` was read.
    const Micros clockNow = options.clock();
    if (!leasesCoverAction(clockNow)) {
        ++stats.deferred;
        return;
    }
    ++stats.sent;
    phase = Phase::Sent;
    actionEndsBy = clockNow + (order.loadsWeights ? options.maxLoadTime : options.maxCallTime);
    options.send(order, forCurrentRun(&Impl::onReply));
}

void OrderRunner::Impl::onReply(std::uint64_t /*run*/, Verdict verdict, std::error_code error, Micros now)
{
    if (phase != Phase::Sent) {
        return;
    }
    if (verdict == Verdict::MayHaveRun) {
        // The engine may still be loading until the maximum load time has passed. The slot is held until then, so that the load is
        // counted.
        phase = Phase::OutcomeUnknown;
    } else {
        releaseLeases(verdict == Verdict::Ran, now);
    }
    deliverAnswer(verdict, error, now);
}

void OrderRunner::Impl::tick(Micros now)
{
    if (phase == Phase::Ready) {
        trySend(now);
    } else if (phase == Phase::Sent && now >= actionEndsBy) {
        releaseLeases(false, now);
        deliverAnswer(Verdict::MayHaveRun, Errc::Timeout, now);
    } else if (phase == Phase::OutcomeUnknown && now >= actionEndsBy) {
        releaseLeases(false, now);
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
    ++impl_->runId;
    impl_->serverRequest = serverLease(impl_->options.server, order.id);
    impl_->slotRequest = loadSlotLease(order.id, impl_->options.maxLoadTime);
    impl_->order = std::move(order);
    impl_->done = std::move(done);
    impl_->acquireServerLease(now);
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
