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

struct ProcessState {
    bool answers = false;
    bool ready = false;
    std::string name;
    bool leaving = false;
    std::uint64_t version = 0;
    std::string digest;
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
    const HttpAnswer dump = httpGet(address, "/dump", timeout);
    const std::optional<Json::Value> json = dump.status == HttpOk ? parseObject(dump.body) : std::nullopt;
    if (!json) {
        return {};
    }
    const Json::Value &name = (*json)["process"];
    const Json::Value &leaving = (*json)["leaving"];
    const Json::Value &version = (*json)["config_version"];
    const Json::Value &digest = (*json)["config_digest"];
    return { .answers = true,
             .ready = httpGet(address, "/readyz", timeout).status == HttpOk,
             .name = name.isString() ? name.asString() : "?",
             .leaving = leaving.isBool() && leaving.asBool(),
             .version = version.isUInt64() ? version.asUInt64() : 0,
             .digest = digest.isString() ? digest.asString() : "" };
}

/// Prints a line about a process. Returns whether it is in order: it takes work and holds at least \p acceptedVersion.
bool printState(const std::string &address, const ProcessState &state, std::uint64_t acceptedVersion, std::ostream &out)
{
    if (!state.answers) {
        out << address << "  does not answer\n";
        return false;
    }
    const bool isBehind = state.version < acceptedVersion;
    out << address << "  " << state.name << "  "
        << (state.leaving     ? "leaving"
                : state.ready ? "ready"
                              : "not ready")
        << "  configuration version " << state.version;
    if (!state.digest.empty()) {
        out << ", digest " << state.digest;
    }
    out << (isBehind ? ", behind the platform" : "") << "\n";
    return state.ready && !isBehind;
}

} // namespace

CliExit runStatus(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine line(command, streams);
    PlatformOptions options;
    std::string environment;
    options.addTo(line);
    line.add()("environment", Po::value(&environment), "compare with this environment on the platform");
    if (const auto ended = line.parse(arguments, { .min = 1, .max = std::numeric_limits<std::size_t>::max() })) {
        return *ended;
    }
    for (const std::string &address : line.positional()) {
        if (!isAddressAndPort(address)) {
            streams.errors << "error: expected IP:PORT, found \"" << address << "\"\n";
            return CliExit::Invalid;
        }
    }
    bool isInOrder = true;
    std::uint64_t acceptedVersion = 0;
    if (!environment.empty()) {
        if (!options.isValid(streams.errors)) {
            return CliExit::Invalid;
        }
        const EnvironmentObject found = PlatformSession(options.session()).read(environment);
        if (found.error || found.object.version == 0) {
            // The processes are worth a look all the same, above all in an outage.
            (void)reportRead(environment, found, streams.errors);
            isInOrder = false;
        } else {
            acceptedVersion = found.object.version;
            streams.out << "platform  " << environment << "  configuration version " << acceptedVersion << ", digest " << documentDigest(found.text) << "\n";
        }
    }
    for (const std::string &address : line.positional()) {
        const ProcessState state = readState(address, options.session().timeout);
        isInOrder = printState(address, state, acceptedVersion, streams.out) && isInOrder;
    }
    return isInOrder ? CliExit::Success : CliExit::Failure;
}

CliExit runDump(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine line(command, streams);
    std::uint32_t timeoutMillis = 10'000;
    line.add()("timeout-ms", Po::value(&timeoutMillis)->default_value(timeoutMillis), "time for the answer");
    if (const auto ended = line.parse(arguments, { .min = 1, .max = 1 })) {
        return *ended;
    }
    const std::string &address = line.positional().front();
    if (!isAddressAndPort(address)) {
        streams.errors << "error: expected IP:PORT, found \"" << address << "\"\n";
        return CliExit::Invalid;
    }
    const HttpAnswer answer = httpGet(address, "/dump", static_cast<Micros>(timeoutMillis) * MicrosPerMilli);
    const std::optional<Json::Value> json = answer.status == HttpOk ? parseObject(answer.body) : std::nullopt;
    if (!json) {
        streams.errors << "error: " << address << " does not answer\n";
        return CliExit::Failure;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    streams.out << Json::writeString(builder, *json) << "\n";
    return CliExit::Success;
}

} // namespace Carobhall::Cli
