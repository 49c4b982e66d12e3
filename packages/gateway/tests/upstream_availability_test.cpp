#include <boost/test/unit_test.hpp>

#include "carobhall/upstream_table.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>

// The load of a service whose servers announce their shutdown in their answers, in simulated time: several gateways with lists that change late,
// requests and answers that take time, entries that are rewritten, removed and written again, and processes that start again under the same id.
// Nothing is sent over a network.

using namespace Carobhall;

namespace
{

constexpr Micros Milli = MicrosPerMilli;
constexpr Micros Second = MicrosPerSecond;
constexpr Micros Step = 5 * Milli;
constexpr std::size_t Gateways = 4;
constexpr std::size_t Servers = 5;

/// A process of a server, and when it first announced something.
struct Process {
    std::size_t server = 0;
    std::int64_t startedAtMs = 0;
    bool leaving = false;
    Micros exitAt = 0; ///< 0: not planned.
    unsigned arrivals = 0;
};

class AvailabilityLoad
{
public:
    explicit AvailabilityLoad(std::uint64_t seed)
        : random_(seed)
    {
        service_.name = "desk";
        for (std::size_t i = 0; i < Gateways; ++i) {
            tables_.push_back(std::make_unique<UpstreamTable>(Locality{ .zone = "a", .regionOfZone = { { "a", "east" } } }, random_()));
            heard_.emplace_back();
        }
        for (std::size_t server = 0; server < Servers; ++server) {
            start(server);
        }
    }

    void run(Micros length)
    {
        for (; now_ < length; now_ += Step) {
            changeServers();
            changeLists();
            deliver();
            for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
                if (uniform(0.0, 1.0) < 0.4) {
                    sendFrom(gateway);
                }
            }
        }
    }

    unsigned sent = 0;
    unsigned broken = 0;         ///< Requests to a process after the gateway had its announcement.
    unsigned refusedInVain = 0;  ///< Refusals although the gateway listed a process that it had not heard of.
    unsigned leftProcesses = 0;  ///< Processes that announced their shutdown.
    unsigned laterProcesses = 0; ///< Processes that started under the id of one that had announced its shutdown and got requests.

private:
    struct Answer {
        Micros at = 0;
        std::size_t gateway = 0;
        std::size_t process = 0;
        UpstreamRef upstream{};
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    bool happens(Micros meanInterval)
    {
        return uniform(0.0, 1.0) < static_cast<double>(Step) / static_cast<double>(meanInterval);
    }

    void start(std::size_t server)
    {
        current_[server] = processes_.size();
        processes_.push_back({ .server = server, .startedAtMs = 1'000 + now_ / Milli });
        for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
            list(gateway, server);
        }
    }

    /// The list of \p gateway shows the running process of \p server as ready, whatever the process says.
    void list(std::size_t gateway, std::size_t server)
    {
        const Process &process = processes_[current_[server]];
        tables_[gateway]->update({ .id = "s" + std::to_string(server),
                                   .service = "desk",
                                   .address = "10.0.0." + std::to_string(server + 1) + ":80",
                                   .zone = "a",
                                   .slots = 6,
                                   .startedAtMs = process.startedAtMs });
    }

    void changeServers()
    {
        for (std::size_t server = 0; server < Servers; ++server) {
            Process &process = processes_[current_[server]];
            if (process.exitAt != 0 && now_ >= process.exitAt) {
                start(server);
            } else if (!process.leaving && happens(4 * Second)) {
                process.leaving = true;
                process.exitAt = now_ + static_cast<Micros>(uniform(1.0, 6.0) * Second);
                ++leftProcesses;
            }
        }
    }

    void changeLists()
    {
        for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
            const auto server = static_cast<std::size_t>(uniform(0.0, Servers));
            if (happens(500 * Milli)) {
                list(gateway, server);
            }
            if (happens(2 * Second)) {
                tables_[gateway]->remove("s" + std::to_string(server), now_);
            }
        }
    }

    void deliver()
    {
        while (!answers_.empty() && answers_.front().at <= now_) {
            const Answer answer = answers_.front();
            answers_.pop_front();
            if (processes_[answer.process].leaving) {
                (void)tables_[answer.gateway]->availability().noteLeaving(answer.upstream->process, now_);
                heard_[answer.gateway].insert(answer.process);
            }
            tables_[answer.gateway]->noteAttemptEnded(*answer.upstream, AttemptResult::Served, 20 * Milli, now_);
        }
    }

    void sendFrom(std::size_t gateway)
    {
        ++sent;
        // A second choice excludes the first, as for a retry or a standby.
        std::vector<UpstreamRef> tried;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const UpstreamRef chosen = tables_[gateway]->choosePlainUpstream(service_, tried, now_);
            if (!chosen) {
                refusedInVain += attempt == 0 && knowsAvailable(gateway) ? 1 : 0;
                return;
            }
            tried.push_back(chosen);
            for (std::size_t i = 0; i < processes_.size(); ++i) {
                Process &process = processes_[i];
                if ("s" + std::to_string(process.server) == chosen->record.id && process.startedAtMs == chosen->record.startedAtMs) {
                    broken += heard_[gateway].contains(i) ? 1 : 0;
                    laterProcesses += i >= Servers && ++process.arrivals == 1 ? 1 : 0;
                    if (current_[process.server] == i) {
                        tables_[gateway]->noteAttemptStarted(*chosen, 0, 0);
                        answers_.push_back({ .at = now_ + 20 * Milli, .gateway = gateway, .process = i, .upstream = chosen });
                    }
                }
            }
        }
    }

    [[nodiscard]] bool knowsAvailable(std::size_t gateway) const
    {
        return std::ranges::any_of(tables_[gateway]->byId(), [&](const auto &entry) {
            const Upstream &upstream = *entry.second;
            const auto found = std::ranges::find_if(processes_, [&](const Process &process) {
                return "s" + std::to_string(process.server) == upstream.record.id && process.startedAtMs == upstream.record.startedAtMs;
            });
            return upstream.present && !heard_[gateway].contains(static_cast<std::size_t>(found - processes_.begin()));
        });
    }

    std::mt19937_64 random_;
    Service service_;
    Micros now_ = Second;
    std::vector<Process> processes_;
    std::array<std::size_t, Servers> current_{}; ///< The running process of each server.
    std::vector<std::unique_ptr<UpstreamTable>> tables_;
    std::vector<std::set<std::size_t>> heard_; ///< Of each gateway: the processes whose announcement has reached it.
    std::deque<Answer> answers_;
};

std::uint64_t seedOfRun(std::uint64_t fallback)
{
    const char *const text = std::getenv("CAROBHALL_SEED");
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

// Guards against requests, also retries and standbys, to a process that has announced its shutdown to this gateway, whatever the list says later; and
// against the loss of the next process under the same id.
BOOST_AUTO_TEST_CASE(processesThatAnnounceTheirShutdownAreNotChosenAgain)
{
    for (std::uint64_t run = 0; run < 3; ++run) {
        AvailabilityLoad load(seedOfRun(20261208) + run);
        load.run(40 * Second);
        BOOST_TEST_MESSAGE("sent " << load.sent << ", broken " << load.broken << ", left " << load.leftProcesses);
        BOOST_TEST(load.broken == 0U);
        BOOST_TEST(load.refusedInVain == 0U);
        BOOST_TEST(load.leftProcesses > 10U);
        BOOST_TEST(load.laterProcesses > 10U);
    }
}

// Guards against a memory that grows without bound with the number of processes that have left.
BOOST_AUTO_TEST_CASE(processesThatLeftLongAgoAreForgotten)
{
    constexpr Micros Day = Micros{ 24 } * 3600 * Second;
    UpstreamAvailability availability;
    for (Incarnation process = 1; process <= 100; ++process) {
        BOOST_TEST(availability.noteLeaving(process, Second));
        BOOST_TEST(!availability.noteLeaving(process, Second));
    }
    (void)availability.noteLeaving(200, Day / 2);
    BOOST_TEST(availability.isLeaving(1));
    (void)availability.noteLeaving(201, Day + 2 * Second);
    BOOST_TEST(!availability.isLeaving(1));
    BOOST_TEST(availability.isLeaving(200));
    BOOST_TEST(availability.size() == 2U);
}

namespace
{

/// The load of a service whose servers turn requests away and ask for pauses. Connections take up to 0.8 s.
class PauseLoad
{
public:
    explicit PauseLoad(std::uint64_t seed)
        : random_(seed)
    {
        service_.name = "desk";
        for (std::size_t i = 0; i < Gateways; ++i) {
            tables_.push_back(std::make_unique<UpstreamTable>(Locality{ .zone = "a", .regionOfZone = { { "a", "east" } } }, random_()));
            for (std::size_t server = 0; server < Servers; ++server) {
                tables_[i]->update({ .id = "s" + std::to_string(server),
                                     .service = "desk",
                                     .address = "10.0.0." + std::to_string(server + 1) + ":80",
                                     .zone = "a",
                                     .slots = 6,
                                     .startedAtMs = 1 });
            }
        }
    }

    void run(Micros length)
    {
        for (; now_ < length; now_ += Step) {
            for (Server &server : servers_) {
                if (now_ >= server.pausedUntil && uniform(0.0, 1.0) < 0.001) {
                    server.pausedUntil = now_ + static_cast<Micros>(uniform(0.6, 4.0) * Second);
                }
            }
            std::erase_if(calls_, [this](const Call &call) {
                if (call.at <= now_) {
                    arrive(call);
                }
                return call.at <= now_;
            });
            for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
                if (uniform(0.0, 1.0) < 0.4) {
                    send(gateway);
                }
            }
        }
    }

    unsigned arrivals = 0;
    unsigned early = 0;         ///< Arrivals later than half a second after a server's answer and before the end of its pause.
    unsigned pauses = 0;        ///< Answers that asked for a pause.
    unsigned wrongRefusals = 0; ///< Refusals without a time, or with one that ends before the first server returns.

private:
    static constexpr Micros GraceTime = 500 * Milli;

    struct Server {
        Micros pausedUntil = 0;
        /// By gateway: when the first answer of the pause was given, and its end.
        std::array<std::pair<Micros, Micros>, Gateways> told{};
    };
    struct Call {
        Micros at = 0; ///< When the connection is established.
        std::size_t gateway = 0;
        UpstreamRef upstream{};
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }

    void send(std::size_t gateway)
    {
        UpstreamTable &table = *tables_[gateway];
        if (UpstreamRef chosen = table.choosePlainUpstream(service_, {}, now_)) {
            table.noteAttemptStarted(*chosen, 0, 0);
            const bool isSlow = uniform(0.0, 1.0) < 0.1;
            calls_.push_back(
                { .at = now_ + (isSlow ? static_cast<Micros>(uniform(0.0, 0.8) * Second) : 0), .gateway = gateway, .upstream = std::move(chosen) });
            return;
        }
        Micros firstReturn = std::numeric_limits<Micros>::max();
        for (const Server &server : servers_) {
            firstReturn = std::min(firstReturn, server.told.at(gateway).second);
        }
        wrongRefusals += now_ + table.timeToAvailable(service_.name, now_) < firstReturn ? 1 : 0;
    }

    void arrive(const Call &call)
    {
        UpstreamTable &table = *tables_[call.gateway];
        if (!table.isUsable(*call.upstream, now_)) {
            table.noteAttemptEnded(*call.upstream, AttemptResult::Unreachable, 0, now_);
            return;
        }
        ++arrivals;
        Server &server = servers_.at(call.upstream->number);
        auto &[toldAt, end] = server.told.at(call.gateway);
        early += now_ > toldAt + GraceTime && now_ < end ? 1 : 0;
        if (now_ < server.pausedUntil) {
            ++pauses;
            toldAt = now_ < end ? toldAt : now_;
            end = server.pausedUntil;
            (void)table.availability().notePause(call.upstream->process, end - now_, now_);
        }
        table.noteAttemptEnded(*call.upstream, AttemptResult::Served, 20 * Milli, now_);
    }

    std::mt19937_64 random_;
    Service service_;
    Micros now_ = Second;
    std::array<Server, Servers> servers_{};
    std::vector<std::unique_ptr<UpstreamTable>> tables_;
    std::vector<Call> calls_;
};

} // namespace

// Guards against requests to a server during the pause that it has asked for, also on connections that were being established when it did, and against
// refusals that send callers back before the first server returns.
BOOST_AUTO_TEST_CASE(pausedServersGetNoRequests)
{
    for (std::uint64_t run = 0; run < 3; ++run) {
        PauseLoad load(seedOfRun(20261210) + run);
        load.run(40 * Second);
        BOOST_TEST_MESSAGE("arrivals " << load.arrivals << ", early " << load.early << ", pauses " << load.pauses);
        BOOST_TEST(load.early == 0U);
        BOOST_TEST(load.wrongRefusals == 0U);
        BOOST_TEST(load.pauses > 10U);
        BOOST_TEST(load.arrivals > 1'000U);
    }
}

// Guards against gateways that all return to a server at the same instant, and against a return that moves with each answer.
BOOST_AUTO_TEST_CASE(gatewaysReturnToAPausedServerOneAfterTheOther)
{
    constexpr Micros Pause = 2 * Second;
    constexpr std::size_t Count = 60;
    std::vector<Micros> returns;
    for (std::size_t gateway = 0; gateway < Count; ++gateway) {
        UpstreamAvailability availability(seedOfRun(20261211) + gateway);
        for (Micros now = Second; now < 2 * Second; now += 100 * Milli) {
            BOOST_TEST(availability.notePause(1, 3 * Second - now, now) == (now == Second));
        }
        returns.push_back(2 * Second + *availability.timeToAvailable(1, 2 * Second));
        BOOST_TEST(returns.back() >= Second + Pause);
    }
    std::ranges::sort(returns);
    BOOST_TEST(returns.back() <= Second + Pause + UpstreamAvailability::MaxReturnSpread);
    for (std::size_t i = Count / 3; i < Count; ++i) {
        BOOST_TEST(returns[i] - returns[i - Count / 3] >= 20 * Milli);
    }
}

// Guards against a server that is lost for good after a pause that is absurdly long, and against one that a later answer returns too early.
BOOST_AUTO_TEST_CASE(pausesAreBoundedAndTheLongestCounts)
{
    UpstreamAvailability availability;
    BOOST_TEST(!availability.notePause(1, -5 * Second, Second));
    BOOST_TEST(!availability.notePause(1, 0, Second));
    BOOST_TEST(availability.isAvailable(1, Second));
    (void)availability.notePause(1, 10 * Second, Second);
    (void)availability.notePause(1, Second, 2 * Second);
    BOOST_TEST(!availability.isAvailable(1, 11 * Second - 1));
    BOOST_TEST(availability.isAvailable(1, 12 * Second));
    (void)availability.notePause(2, 1'000'000 * Second, Second);
    BOOST_TEST(availability.isAvailable(2, Second + UpstreamAvailability::MaxPause + UpstreamAvailability::MaxReturnSpread));
    (void)availability.notePause(3, Second, 2'000 * Second);
    BOOST_TEST(availability.size() == 1U);
}
