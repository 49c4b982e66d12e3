#include "carobhall/platform.h"

#include <algorithm>

namespace Carobhall
{

TokenBucket::TokenBucket(double rate, double burst)
    : rate_(rate)
    , burst_(burst)
    , tokens_(burst)
{
}

void TokenBucket::refill(Micros now)
{
    const double elapsed = static_cast<double>(std::max<Micros>(now - refilledAt_, 0)) / static_cast<double>(MicrosPerSecond);
    tokens_ = std::min(burst_, tokens_ + elapsed * rate_);
    refilledAt_ = std::max(now, refilledAt_);
}

void TokenBucket::setRate(double rate, Micros now)
{
    refill(now);
    rate_ = rate;
}

bool TokenBucket::take(Micros now)
{
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void TokenBucket::charge(double tokens, Micros now)
{
    refill(now);
    tokens_ = std::max(-burst_, tokens_ - tokens);
}

Backoff::Backoff(Micros base, Micros cap)
    : base_(base)
    , cap_(cap)
    , bound_(base)
{
}

Micros Backoff::next(Generator &generator)
{
    const Micros delay = std::uniform_int_distribution<Micros>(0, bound_)(generator);
    bound_ = std::min(cap_, bound_ * 2);
    return delay;
}

void Backoff::reset()
{
    bound_ = base_;
}

CircuitBreaker::CircuitBreaker(BreakerOptions options)
    : options_(options)
    , backoff_(options.openBase, options.openCap)
{
}

bool CircuitBreaker::allow(Micros now)
{
    if (!open_) {
        return true;
    }
    if (trial_ || now < openUntil_) {
        return false;
    }
    trial_ = true;
    return true;
}

void CircuitBreaker::withdrawTrial()
{
    trial_ = false;
}

void CircuitBreaker::succeeded()
{
    open_ = false;
    trial_ = false;
    failures_ = 0;
    backoff_.reset();
}

void CircuitBreaker::failed(Micros now, Generator &generator)
{
    ++failures_;
    if (open_ && !trial_) {
        return;
    }
    if (trial_ || failures_ >= options_.failuresToOpen) {
        open_ = true;
        trial_ = false;
        openUntil_ = now + backoff_.next(generator);
    }
}

bool CircuitBreaker::isOpen() const
{
    return open_;
}

} // namespace Carobhall
