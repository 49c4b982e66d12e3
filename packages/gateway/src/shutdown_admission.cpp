#include "carobhall/shutdown_admission.h"

#include <algorithm>

namespace Carobhall
{

ShutdownAdmission::ShutdownAdmission(const ShutdownAdmissionOptions &options)
    : options_(options)
{
}

void ShutdownAdmission::begin(Micros now)
{
    if (!begunAt_) {
        begunAt_ = now;
    }
}

void ShutdownAdmission::end()
{
    ended_ = true;
}

bool ShutdownAdmission::admits(Micros deadline, Micros now) const
{
    if (ended_ || isCutDue(now)) {
        return false;
    }
    return !begunAt_ || now - *begunAt_ <= std::min(options_.acceptTime, options_.grace / 2)
        || deadline - *begunAt_ <= options_.grace - options_.finalFlushTime;
}

bool ShutdownAdmission::isCutDue(Micros now) const
{
    return begunAt_ && now - *begunAt_ > options_.grace - options_.finalFlushTime;
}

} // namespace Carobhall
