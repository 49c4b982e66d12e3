#include "http_get.h"
#include "platform_options.h"

#include "carobhall/configuration.h"

#include <json/reader.h>
#include <json/writer.h>

#include <limits>
#include <ostream>

namespace Carobhall::Cli
{

namespace
{

constexpr int HttpOk = 200;

/// State of a process as its admin listener reports it.
struct ProcessState {
    bool responds = false;
    bool ready = false;
    std::string name;
    bool leaving = false;
    std::uint64_t version = 0; ///< Version of the environment document.
    std::string digest;        ///< Digest of the environment document; empty if there is none.
};

std::optional<Json::Value> parseObject(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    const bool parsed = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return parsed && value.isObject() ? std::optional(std::move(value)) : std::nullopt;
}

ProcessState readState(const std::string &address, Micros timeout)
{
    const HttpResponse dump = httpGet(address, "/dump", timeout);
    const std::optional<Json::Value> json = dump.status == HttpOk ? parseObject(dump.body) : std::nullopt;
    if (!json) {
        return {};
    }
    const Json::Value &name = (*json)["process"];
    const Json::Value &leaving = (*json)["leaving"];
    const Json::Value &version = (*json)["config_version"];
    const Json::Value &digest = (*json)["config_digest"];
    return { .responds = true,
             .ready = httpGet(address, "/readyz", timeout).status == HttpOk,
             .name = name.isString() ? name.asString() : "?",
             .leaving = leaving.isBool() && leaving.asBool(),
             .version = version.isUInt64() ? version.asUInt64() : 0,
             .digest = digest.isString() ? digest.asString() : "" };
}

/// Prints one line about a process. Returns whether the process is ready and its document has at least version \p platformVersion.
bool printState(const std::string &address, const ProcessState &state, std::uint64_t platformVersion, std::ostream &out)
{
    if (!state.responds) {
        out << address << "  does not answer\n";
        return false;
    }
    const bool isOutdated = state.version < platformVersion;
    out << address << "  " << state.name << "  "
        << (state.leaving     ? "leaving"
                : state.ready ? "ready"
                              : "not ready")
        << "  configuration version " << state.version;
    if (!state.digest.empty()) {
        out << ", digest " << state.digest;
    }
    out << (isOutdated ? ", older than on the platform" : "") << "\n";
    return state.ready && !isOutdated;
}

} // namespace

CliExit runStatus(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    PlatformOptions options;
    std::string environment;
    options.addTo(commandLine);
    commandLine.add()("environment", Po::value(&environment), "compare the configuration versions with this environment on the platform");
    if (const auto exitCode = commandLine.parse(arguments, { .min = 1, .max = std::numeric_limits<std::size_t>::max() })) {
        return *exitCode;
    }
    for (const std::string &address : commandLine.positional()) {
        if (!isAddressAndPort(address)) {
            streams.errors << "error: expected IP:PORT, found \"" << address << "\"\n";
            return CliExit::Invalid;
        }
    }
    bool isHealthy = true;
    std::uint64_t platformVersion = 0;
    if (!environment.empty()) {
        if (!options.isValid(streams.errors)) {
            return CliExit::Invalid;
        }
        const EnvironmentObject found = PlatformSession(options.session()).read(environment);
        if (found.error || found.object.version == 0) {
            // The state of the processes is still printed, because it is useful above all during an outage of the platform.
            (void)reportReadFailure(environment, found, streams.errors);
            isHealthy = false;
        } else {
            platformVersion = found.object.version;
            streams.out << "platform  " << environment << "  configuration version " << platformVersion << ", digest " << documentDigest(found.text) << "\n";
        }
    }
    for (const std::string &address : commandLine.positional()) {
        const ProcessState state = readState(address, options.session().timeout);
        isHealthy = printState(address, state, platformVersion, streams.out) && isHealthy;
    }
    return isHealthy ? CliExit::Success : CliExit::Failure;
}

CliExit runDump(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    std::uint32_t timeoutMillis = 10'000;
    commandLine.add()("timeout-ms", Po::value(&timeoutMillis)->default_value(timeoutMillis), "timeout of the request");
    if (const auto exitCode = commandLine.parse(arguments, { .min = 1, .max = 1 })) {
        return *exitCode;
    }
    const std::string &address = commandLine.positional().front();
    if (!isAddressAndPort(address)) {
        streams.errors << "error: expected IP:PORT, found \"" << address << "\"\n";
        return CliExit::Invalid;
    }
    const HttpResponse response = httpGet(address, "/dump", static_cast<Micros>(timeoutMillis) * MicrosPerMilli);
    const std::optional<Json::Value> json = response.status == HttpOk ? parseObject(response.body) : std::nullopt;
    if (!json) {
        streams.errors << "error: " << address << " did not answer with status 200 and a JSON object\n";
        return CliExit::Failure;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    streams.out << Json::writeString(builder, *json) << "\n";
    return CliExit::Success;
}

} // namespace Carobhall::Cli
