// carobhall-standin: runs one simulated external system (engine, service or platform) until SIGTERM or SIGINT.

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

/// A command-line option in milliseconds (fractions allowed) that sets a field in microseconds.
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

/// The value of an option that is stored in \p field and defaults to the field's current value.
template<typename Value>
auto stored(Value &field)
{
    return Po::value<Value>(&field)->default_value(field);
}

void addEngine(Po::options_description &options, EngineOptions &engine)
{
    addMillis(options,
              { { "prefill-ms", &engine.prefillPerPiece, "prefill time per piece that is not cached" },
                { "decode-ms", &engine.decodePerToken, "time between two tokens of a request in the batch" },
                { "load-lag-ms", &engine.loadReportLag, "age of the state in load reports" },
                { "event-delay-ms", &engine.eventDelay, "delay of cache events" },
                { "weights-load-ms", &engine.weightsLoadTime, "time to load a model, an adapter or new weights" } });
    auto add = options.add_options();
    add("model", stored(engine.model), "name of the model");
    add("weights-version", stored(engine.weightsVersion), "version of the weights");
    add("slots", stored(engine.slots), "maximum number of requests in the batch");
    add("max-waiting", stored(engine.maxWaiting), "queue limit; further requests are rejected");
    add("cache-blocks", stored(engine.cacheBlocks), "capacity of the prefix cache in pieces");
    add("prefill-chunk", stored(engine.prefillChunkPieces), "pieces per prefill chunk; a request with higher priority can run between chunks");
    add("answer-tokens", stored(engine.answerTokens), "answers end after this many tokens; 0: at the request's max_tokens");
    add("event-loss", stored(engine.eventLossShare), "share of cache events that are lost");
    add("event-duplicates", stored(engine.eventDuplicateShare), "share of cache events that are delivered twice");
    add("checks-fencing", stored(engine.checksFencing), "reject orders with a stale fencing token");
    add("crash-marker", stored(engine.crashMarker), "a prompt that contains this text crashes the engine; empty: disabled");
    add("crash-after-tokens", stored(engine.crashAfterTokens), "tokens generated for a prompt with the crash marker before the crash");
    add("export-block-bytes", stored(engine.exportBytesPerBlock), "data size of an exported block in bytes");
    add("seed", stored(engine.seed), "random seed of lost and duplicated events");
}

void addService(Po::options_description &options, ServiceOptions &service)
{
    addMillis(options, { { "delay-ms", &service.delay, "duration of a call" } });
    auto add = options.add_options();
    add("name", stored(service.name), "name of the service");
    add("crash-before", stored(service.crashBefore), "a body that contains this text ends the process before the call runs; empty: disabled");
    add("crash-after", stored(service.crashAfter), "a body that contains this text ends the process after the call ran, before the answer; empty: disabled");
    add("lose-answer", stored(service.loseAnswer), "a call whose body contains this text runs but its answer is dropped; empty: disabled");
}

void addPlatform(Po::options_description &options, PlatformOptions &platform)
{
    addMillis(options, { { "delay-ms", &platform.delay, "delay before each answer" }, { "vm-lag-ms", &platform.vmListLag, "age of the VM list" } });
    auto add = options.add_options();
    add("writes-per-second", stored(platform.writesPerSecond), "rate limit of writes");
    add("reads-per-second", stored(platform.readsPerSecond), "rate limit of reads");
    add("max-value-bytes", stored(platform.maxValueBytes), "maximum size of an object in bytes");
    add("history", stored(platform.historySize), "number of changes kept for watches that start at an older version");
    add("lose-answers", stored(platform.loseAnswerShare), "share of writes that take effect but whose answers are dropped");
    add("seed", stored(platform.seed), "random seed of dropped answers");
}

int run(const std::string &kind, int argc, char **argv)
{
    EngineOptions engine;
    ServiceOptions service;
    PlatformOptions platform;
    std::uint16_t port = 0;
    Po::options_description options("Options of carobhall-standin " + kind);
    options.add_options()("help", "print this text")("port", stored(port), "port of 127.0.0.1; 0: any free port");
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
        std::cerr << "carobhall-standin: cannot listen on 127.0.0.1:" << port << "\n";
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
