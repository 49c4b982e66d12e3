#include "load_run.h"

#include "http_server.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace Carobhall::Standin
{

namespace
{

double toMillis(Micros micros)
{
    return static_cast<double>(micros) / MicrosPerMilli;
}

/// Runs the main context until \p condition holds.
template<typename Condition>
void runUntil(Condition condition)
{
    while (!condition()) {
        g_main_context_iteration(nullptr, TRUE);
    }
}

/// Results of the requests that the report lists under one name.
struct ResultGroup {
    std::uint64_t requests = 0;
    std::vector<Micros> firstTokens;
    std::vector<Micros> gaps;
    std::map<LoadOutcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> refusals; ///< By verdict.
    std::map<std::string, std::uint64_t> codes;

    void add(Micros sendDelay, const LoadResult &result)
    {
        ++requests;
        ++outcomes[result.outcome];
        if (result.outcome == LoadOutcome::Refused) {
            ++refusals[result.verdict];
            ++codes[result.code];
        }
        if (result.outcome == LoadOutcome::Complete) {
            firstTokens.push_back(sendDelay + result.firstToken);
            gaps.insert(gaps.end(), result.gaps.begin(), result.gaps.end());
        }
    }

    [[nodiscard]] Json::Value report() const
    {
        const auto count = [this](LoadOutcome outcome) {
            const auto found = outcomes.find(outcome);
            return Json::UInt64{ found == outcomes.end() ? 0 : found->second };
        };
        Json::Value body;
        body["requests"] = Json::UInt64{ requests };
        body["complete"] = count(LoadOutcome::Complete);
        body["errors"] = count(LoadOutcome::Failed);
        body["incomplete_streams"] = count(LoadOutcome::Incomplete);
        body["wrong_answers"] = count(LoadOutcome::Wrong);
        body["refusals"] = Json::Value(Json::objectValue);
        for (const auto &[verdict, number] : refusals) {
            body["refusals"][verdict] = Json::UInt64{ number };
        }
        body["codes"] = Json::Value(Json::objectValue);
        for (const auto &[code, number] : codes) {
            body["codes"][code] = Json::UInt64{ number };
        }
        body["first_token_ms"]["p50"] = toMillis(quantileOf(firstTokens, 0.5));
        body["first_token_ms"]["p95"] = toMillis(quantileOf(firstTokens, 0.95));
        body["first_token_ms"]["p99"] = toMillis(quantileOf(firstTokens, 0.99));
        body["between_tokens_ms"]["p95"] = toMillis(quantileOf(gaps, 0.95));
        return body;
    }
};

struct ProcessUsage {
    Micros cpu = 0;
    double residentMegabytes = 0.0;
};

ProcessUsage readProcess(int pid)
{
    // /proc/PID/stat: the second field is the program's name in parentheses, which may contain spaces. Parsing starts after it, at
    // field 3.
    constexpr int userTimeField = 14;
    constexpr int residentField = 24;
    constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(std::min(line.rfind(')') + 1, line.size())));
    ProcessUsage usage;
    std::string text;
    for (int field = 3; fields >> text; ++field) {
        if (field == userTimeField || field == userTimeField + 1) {
            usage.cpu += std::stoll(text) * MicrosPerSecond / sysconf(_SC_CLK_TCK);
        } else if (field == residentField) {
            usage.residentMegabytes = static_cast<double>(std::stoll(text) * sysconf(_SC_PAGESIZE)) / bytesPerMegabyte;
        }
    }
    return usage;
}

class DirectRun
{
public:
    explicit DirectRun(const DirectOptions &options)
        : options_(options)
    {
    }

    Json::Value run()
    {
        if (options_.entryPid > 0) {
            report_["resident_mb"]["idle"] = readProcess(options_.entryPid).residentMegabytes;
        }
        if (options_.requests > 0) {
            compareLatency();
        }
        if (options_.duration > 0) {
            report_["requests_per_second"]["direct"] = measureRate(options_.engineUrl);
            const ProcessUsage before = readProcess(options_.entryPid);
            const std::uint64_t completeBefore = complete_;
            report_["requests_per_second"]["entry"] = measureRate(options_.entryUrl);
            if (options_.entryPid > 0 && complete_ > completeBefore) {
                const auto requests = static_cast<double>(complete_ - completeBefore);
                report_["cpu_per_request_ms"] = toMillis(readProcess(options_.entryPid).cpu - before.cpu) / requests;
            }
        }
        if (options_.streams > 0) {
            openStreams();
        }
        report_["not_complete"] = Json::UInt64{ notComplete_ };
        for (const auto &[code, number] : codes_) {
            report_["codes"][code] = Json::UInt64{ number };
        }
        return report_;
    }

private:
    LoadCall makeCall(const std::string &url, std::uint64_t tokens)
    {
        return { .url = url, .key = "demo-key-zagreb-chamber", .chat = false, .prompt = "Direct " + std::to_string(++sent_), .maxTokens = tokens };
    }

    void record(const LoadResult &result)
    {
        ++(result.outcome == LoadOutcome::Complete ? complete_ : notComplete_);
        if (result.outcome != LoadOutcome::Complete) {
            ++codes_[result.code.empty() ? "none" : result.code];
        }
    }

    Micros measureLatency(const std::string &url)
    {
        std::optional<Micros> latency;
        client_.send(makeCall(url, 1), [&](const LoadResult &result) {
            record(result);
            latency = result.end;
        });
        runUntil([&] { return latency.has_value(); });
        return *latency;
    }

    void compareLatency()
    {
        std::vector<Micros> direct;
        std::vector<Micros> entry;
        for (std::size_t i = 0; i < options_.requests; ++i) {
            direct.push_back(measureLatency(options_.engineUrl));
            entry.push_back(measureLatency(options_.entryUrl));
        }
        for (const auto &[name, quantile] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
            report_["latency_ms"]["direct"][name] = toMillis(quantileOf(direct, quantile));
            report_["latency_ms"]["entry"][name] = toMillis(quantileOf(entry, quantile));
            report_["latency_ms"]["added"][name] = toMillis(quantileOf(entry, quantile) - quantileOf(direct, quantile));
        }
    }

    double measureRate(const std::string &url)
    {
        const Micros start = monotonicNow();
        const std::uint64_t before = complete_;
        std::size_t open = 0;
        std::function<void()> next = [&] {
            if (monotonicNow() - start >= options_.duration) {
                return;
            }
            ++open;
            client_.send(makeCall(url, 1), [&](const LoadResult &result) {
                record(result);
                --open;
                next();
            });
        };
        for (std::size_t i = 0; i < options_.concurrency; ++i) {
            next();
        }
        runUntil([&] { return open == 0; });
        return static_cast<double>(complete_ - before) * MicrosPerSecond / static_cast<double>(monotonicNow() - start);
    }

    /// Opens streams while at most `concurrency` of them wait for their first token, so that the engines' queues do not reject them.
    /// Reads the memory usage whenever the number of open streams reaches a new maximum.
    void openStreams()
    {
        std::size_t sent = 0;
        std::size_t waiting = 0;
        std::size_t open = 0;
        std::size_t ended = 0;
        std::size_t maxOpen = 0;
        double residentMegabytesAtMax = 0.0;
        std::function<void()> sendMore = [&] {
            for (; sent < options_.streams && waiting < options_.concurrency; ++sent) {
                ++waiting;
                client_.send(
                    makeCall(options_.entryUrl, options_.streamTokens),
                    [&](const LoadResult &result) {
                        record(result);
                        ++ended;
                        --(result.firstToken > 0 ? open : waiting);
                        sendMore();
                    },
                    [&] {
                        --waiting;
                        if (++open > maxOpen) {
                            maxOpen = open;
                            residentMegabytesAtMax = readProcess(options_.entryPid).residentMegabytes;
                        }
                        sendMore();
                    });
            }
        };
        sendMore();
        runUntil([&] { return ended == options_.streams; });
        report_["open_streams"] = Json::UInt64{ maxOpen };
        report_["resident_mb"]["open_streams"] = residentMegabytesAtMax;
    }

    const DirectOptions &options_;
    LoadClient client_;
    Json::Value report_;
    std::uint64_t sent_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t notComplete_ = 0;
    std::map<std::string, std::uint64_t> codes_;
};

} // namespace

Micros quantileOf(std::vector<Micros> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

Json::Value runDirect(const DirectOptions &options)
{
    return DirectRun(options).run();
}

Json::Value runOpenLoop(const PlanOptions &options, const std::vector<std::string> &urls)
{
    const std::vector<PlannedRequest> plan = makePlan(options);
    std::map<std::string, ResultGroup> groups;
    LoadClient client;
    const Micros start = monotonicNow();
    std::size_t next = 0;
    std::size_t ended = 0;
    std::unique_ptr<Timer> timer;
    const auto sendDue = [&] {
        for (; next < plan.size() && start + plan[next].at <= monotonicNow(); ++next) {
            const PlannedRequest &request = plan[next];
            const LoadAccount &account = loadAccounts()[request.account];
            const Micros sendDelay = monotonicNow() - start - request.at;
            std::string name(nameOf(request.kind));
            name += " " + std::string(account.rank) + (account.large ? " large" : " small");
            client.send({ .url = urls[next % urls.size()],
                          .key = "demo-key-" + std::string(account.name),
                          .chat = request.kind != WorkKind::Verdict,
                          .prompt = request.prompt,
                          .maxTokens = request.maxTokens },
                        [&groups, &ended, name, sendDelay, kind = std::string(nameOf(request.kind))](const LoadResult &result) {
                            groups[name].add(sendDelay, result);
                            groups[kind].add(sendDelay, result);
                            groups["all"].add(sendDelay, result);
                            ++ended;
                        });
        }
        timer->setAt(next < plan.size() ? std::optional(start + plan[next].at) : std::nullopt);
    };
    timer = std::make_unique<Timer>(sendDue);
    sendDue();
    runUntil([&] { return ended == plan.size(); });
    Json::Value report;
    report["seed"] = Json::UInt64{ options.seed };
    report["seconds"] = static_cast<double>(monotonicNow() - start) / MicrosPerSecond;
    for (const auto &[name, group] : groups) {
        report["groups"][name] = group.report();
    }
    return report;
}

} // namespace Carobhall::Standin
