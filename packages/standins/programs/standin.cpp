// carobhall-standin: runs one stand-in of a system outside Carobhall until SIGTERM or SIGINT.

#include "carobhall/standins.h"

#include <boost/program_options.hpp>
#include <glib-unix.h>

#include <csignal>
#include <iostream>

namespace
{

namespace Po = boost::program_options;
using namespace Carobhall;
using namespace Carobhall::Standin;

constexpr int UsageExitCode = 2;

/// An option in milliseconds, with fractions, for a field in microseconds.
struct MillisOption {
    const char *name;
    Micros *field;
    const char *help;
};

void addMillis(Po::options_description &options, std::initializer_list<MillisOption> millis)
{
    for (const MillisOption &option : millis) {
        const double byDefault = static_cast<double>(*option.field) / static_cast<double>(MicrosPerMilli);
        Micros *const field = option.field;
        options.add_options()(option.name, Po::value<double>()->default_value(byDefault)->notifier([field](double value) {
            *field = static_cast<Micros>(value * MicrosPerMilli);
        }),
                              option.help);
    }
}

template<typename Value>
auto stored(Value &field)
{
    return Po::value<Value>(&field)->default_value(field);
}

void addEngine(Po::options_description &options, EngineOptions &engine)
{
    addMillis(options,
              { { "prefill-ms", &engine.prefillPerPiece, "prefill of one piece that is not cached" },
                { "decode-ms", &engine.decodePerToken, "time between two tokens of a request" },
                { "load-lag-ms", &engine.loadReportLag, "age of the load report" },
                { "event-delay-ms", &engine.eventDelay, "delay of cache events" },
                { "weights-load-ms", &engine.weightsLoadTime, "time to load weights" } });
    auto add = options.add_options();
    add("model", stored(engine.model), "name of the model");
    add("weights-version", stored(engine.weightsVersion), "version of the weights");
    add("slots", stored(engine.slots), "requests in the batch at once");
    add("max-waiting", stored(engine.maxWaiting), "further requests are refused");
    add("cache-blocks", stored(engine.cacheBlocks), "pieces in the prefix cache");
    add("prefill-chunk", stored(engine.prefillChunkPieces), "pieces until prefill yields to a more urgent request");
    add("answer-tokens", stored(engine.answerTokens), "answers end after this many tokens; 0: at the request's limit");
    add("event-loss", stored(engine.eventLossShare), "share of cache events that are lost");
    add("event-duplicates", stored(engine.eventDuplicateShare), "share of cache events that appear twice");
    add("checks-fencing", stored(engine.checksFencing), "refuse orders with a stale fencing token");
    add("crash-marker", stored(engine.crashMarker), "a prompt with this text crashes the engine");
    add("crash-after-tokens", stored(engine.crashAfterTokens), "tokens that such a prompt generates first");
    add("export-block-bytes", stored(engine.exportBytesPerBlock), "size of an exported block");
    add("seed", stored(engine.seed), "of lost and duplicated events");
}

void addService(Po::options_description &options, ServiceOptions &service)
{
    addMillis(options, { { "delay-ms", &service.delay, "time of a call" } });
    auto add = options.add_options();
    add("name", stored(service.name), "name of the service");
    add("crash-before", stored(service.crashBefore), "a body with this text ends the process before the call runs");
    add("crash-after", stored(service.crashAfter), "a body with this text ends the process after the call ran");
    add("lose-answer", stored(service.loseAnswer), "a body with this text runs and gets no answer");
}

void addPlatform(Po::options_description &options, PlatformOptions &platform)
{
    addMillis(options, { { "delay-ms", &platform.delay, "before each answer" }, { "vm-lag-ms", &platform.vmListLag, "age of the VM list" } });
    auto add = options.add_options();
    add("writes-per-second", stored(platform.writesPerSecond), "call rate of writes");
    add("reads-per-second", stored(platform.readsPerSecond), "call rate of reads");
    add("max-value-bytes", stored(platform.maxValueBytes), "largest value");
    add("history", stored(platform.historySize), "changes that a watch can catch up on");
    add("lose-answers", stored(platform.loseAnswerShare), "share of writes whose answer is lost");
    add("seed", stored(platform.seed), "of the lost answers");
}

int run(const std::string &kind, int argc, char **argv)
{
    EngineOptions engine;
    ServiceOptions service;
    PlatformOptions platform;
    std::uint16_t port = 0;
    Po::options_description options("Options of carobhall-standin " + kind);
    options.add_options()("help", "print this text")("port", stored(port), "port of 127.0.0.1; 0 takes a free one");
    if (kind == "engine") {
        addEngine(options, engine);
    } else if (kind == "service") {
        addService(options, service);
    } else if (kind == "platform") {
        addPlatform(options, platform);
    } else {
        std::cerr << "usage: carobhall-standin engine|service|platform [options]\n";
        return UsageExitCode;
    }
    Po::variables_map values;
    Po::store(Po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    Po::notify(values);
    const std::unique_ptr<Server> server = kind == "engine" ? startEngine(port, engine)
        : kind == "service"                                 ? startService(port, service)
                                                            : startPlatform(port, platform);
    if (!server) {
        std::cerr << "cannot listen on 127.0.0.1:" << port << "\n";
        return 1;
    }
    initLogging("standin-" + kind, LogLevel::Info);
    std::cout << "listening=127.0.0.1:" << server->port() << std::endl;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    const auto stop = [](gpointer data) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop *>(data));
        return G_SOURCE_REMOVE;
    };
    g_unix_signal_add(SIGTERM, stop, loop);
    g_unix_signal_add(SIGINT, stop, loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc > 1 ? argv[1] : "", argc - 1, argv + 1);
    } catch (const Po::error &error) {
        std::cerr << "carobhall-standin: " << error.what() << "\n";
        return UsageExitCode;
    }
}
