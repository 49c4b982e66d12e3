#pragma once

// Decides which requests a process still takes while it shuts down.
//
//     ShutdownAdmission admission({ .grace = settings.stopGrace });
//     admission.begin(now);                               // SIGTERM
//     if (!admission.admits(deadline, now)) { ... refuse: the request has not run ... }
//     if (admission.isCutDue(now)) { admission.end(); ... end what is unfinished ... }
//
// What is unfinished when the grace time expires is ended without its result, and the caller of a request that may run once only cannot know
// whether it ran. So a request is taken only if its deadline ends before that. Callers learn of the shutdown with a delay, and at its beginning
// there is time for most requests: for acceptTime each request is taken.
//
// Decision logic only: no I/O, and the caller passes the time.

#include "carobhall/base.h"

#include <optional>

namespace Carobhall
{

struct ShutdownAdmissionOptions {
    Micros grace = 0; ///< From SIGTERM until the process is killed.
    /// How long each request is taken after SIGTERM, and at most half of the grace time. The platform tolerates that a request which began up to
    /// three seconds after SIGTERM is cut at the end of the grace time; half a second is left for requests in transit.
    Micros acceptTime = 2500 * MicrosPerMilli;
    Micros finalFlushTime = 700 * MicrosPerMilli; ///< Reserved at the end of the grace time for sending the last responses.
};

/// Not thread-safe.
class ShutdownAdmission
{
public:
    explicit ShutdownAdmission(const ShutdownAdmissionOptions &options);

    /// The process was asked to stop at \p now. Further calls have no effect.
    void begin(Micros now);
    /// Unfinished requests are ended: from now on none is taken.
    void end();
    /// Whether a request that arrives at \p now is taken. At \p deadline it ends in any case, by the limit of its route or its caller.
    [[nodiscard]] bool admits(Micros deadline, Micros now) const;
    /// The time has come to end what is unfinished.
    [[nodiscard]] bool isCutDue(Micros now) const;

private:
    ShutdownAdmissionOptions options_;
    std::optional<Micros> begunAt_;
    bool ended_ = false;
};

} // namespace Carobhall
