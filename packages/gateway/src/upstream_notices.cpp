#include "upstream_notices.h"

namespace Carobhall
{

void noteAvailability(UpstreamTable &table, const Upstream &upstream, const UpstreamResponse &response, std::string_view requestId, Micros now)
{
    if (response.misdirected && !response.instance.empty() && response.instance != upstream.record.id) {
        return;
    }
    if (response.leaving && table.availability().noteLeaving(upstream.process, now)) {
        logEvent(LogLevel::Info, "upstream_leaving", { { "upstream", upstream.record.id }, { "source", "answer" }, { "id", requestId } });
    }
    if (response.pause && table.availability().notePause(upstream.process, *response.pause, now)) {
        logEvent(LogLevel::Info, "upstream_paused",
                 { { "upstream", upstream.record.id },
                   { "asked_ms", *response.pause / MicrosPerMilli },
                   { "until_return_ms", table.availability().timeToAvailable(upstream.process, now).value_or(-1) / MicrosPerMilli },
                   { "id", requestId } });
    }
}

} // namespace Carobhall
