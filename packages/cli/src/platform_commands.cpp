#include "platform_options.h"

#include "carobhall/configuration.h"

#include <gio/gio.h>

#include <iostream>

namespace Carobhall::Cli
{

namespace
{

/// The write that apply and promote make: \p text becomes the document of \p environment.
struct DocumentWrite {
    PlatformSession &session;
    std::string environment;
    std::string text;
    std::optional<std::uint64_t> expectedVersion; ///< Version that the environment must have now; std::nullopt accepts any version.
    CliStreams streams;
};

/// Name, version and digest of an environment, for messages.
std::string describe(const PlatformObject &object, const std::string &text)
{
    return object.name + " version " + std::to_string(object.version) + ", digest " + documentDigest(text);
}

/// Reports the result of a write and returns the exit code.
CliExit reportWrite(const DocumentWrite &request, const PlatformReply &reply)
{
    std::ostream &errors = request.streams.errors;
    if (reply.verdict == Verdict::MayHaveRun) {
        errors << "error: " << request.environment << ": it is not known whether the document was accepted (" << reply.error.message()
               << "); compare it with carobhall diff before retrying\n";
        return CliExit::Unknown;
    }
    if (reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists) {
        errors << "error: " << request.environment << ": another write came first; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (reply.error == Errc::TooLarge) {
        errors << "error: " << request.environment << ": the platform refused the document as too large; nothing was changed\n";
        return CliExit::Invalid;
    }
    if (reply.error) {
        errors << "error: " << request.environment << ": the platform did not accept the document (" << reply.error.message() << "); nothing was changed\n";
        return CliExit::Unavailable;
    }
    const std::optional<std::string> stored = decodeEnvironment(reply.object.spec);
    if (stored != request.text) {
        // The response was lost, and a later write replaced the document before it was read back.
        request.streams.out << "accepted, digest " << documentDigest(request.text) << "; later replaced by version " << reply.object.version << "\n";
        return CliExit::Success;
    }
    request.streams.out << "accepted: " << describe(reply.object, *stored) << "\n";
    return CliExit::Success;
}

/// Writes the document, unless the environment already has it, and reports the result.
CliExit writeDocument(const DocumentWrite &request)
{
    const EnvironmentObject current = request.session.read(request.environment);
    // A damaged object can be replaced, because its version is known.
    const bool isDamaged = current.error == Errc::InvalidDocument;
    if (current.error && !isDamaged) {
        return reportReadFailure(request.environment, current, request.streams.errors);
    }
    if (request.expectedVersion && *request.expectedVersion != current.object.version) {
        request.streams.errors << "error: " << request.environment << " has version " << current.object.version << ", not " << *request.expectedVersion
                               << "; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (!isDamaged && current.object.version != 0 && current.text == request.text) {
        request.streams.out << "already in place: " << describe(current.object, current.text) << "\n";
        return CliExit::Success;
    }
    return reportWrite(request, request.session.write(current.object, request.text));
}

void addExpectedVersion(CommandLine &commandLine, std::optional<std::uint64_t> &version)
{
    commandLine.add()("expect-version", Po::value<std::uint64_t>()->notifier([&version](std::uint64_t value) { version = value; }),
                      "write only if the environment has this version; 0 means that it does not exist");
}

} // namespace

// Options -----------------------------------------------------------------------------------------

bool isAddressAndPort(const std::string &text)
{
    constexpr unsigned long maxPort = 65'535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.find_first_not_of("0123456789", colon + 1) != std::string::npos
        || text.size() - colon > 6) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const unsigned long port = std::stoul(text.substr(colon + 1));
    return g_hostname_is_ip_address(host.c_str()) != FALSE && port > 0 && port <= maxPort;
}

void PlatformOptions::addTo(CommandLine &commandLine)
{
    commandLine.add()("platform", Po::value(&address), "IP:PORT of the platform's object API");
    commandLine.add()("timeout-ms", Po::value(&timeoutMillis)->default_value(timeoutMillis), "timeout of one read or write, including its retries");
}

bool PlatformOptions::isValid(std::ostream &errors) const
{
    if (!isAddressAndPort(address)) {
        errors << "error: expected --platform IP:PORT, found \"" << address << "\"\n";
        return false;
    }
    return true;
}

PlatformSessionOptions PlatformOptions::session() const
{
    return { .address = address, .timeout = static_cast<Micros>(timeoutMillis) * MicrosPerMilli };
}

CliExit reportReadFailure(const std::string &environment, const EnvironmentObject &found, std::ostream &errors)
{
    if (found.error == Errc::InvalidDocument) {
        errors << "error: " << environment << ": the object's digest does not match its text\n";
        return CliExit::Invalid;
    }
    if (found.error) {
        errors << "error: cannot read " << environment << " (" << found.error.message() << ")\n";
        return CliExit::Unavailable;
    }
    errors << "error: there is no environment " << environment << "\n";
    return CliExit::Invalid;
}

// Commands ----------------------------------------------------------------------------------------

CliExit runApply(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    PlatformOptions options;
    std::string environment;
    std::optional<std::uint64_t> expectedVersion;
    options.addTo(commandLine);
    commandLine.add()("environment", Po::value(&environment), "environment to write; by default the name in the document");
    addExpectedVersion(commandLine, expectedVersion);
    if (const auto exitCode = commandLine.parse(arguments, { .min = 1, .max = 1 })) {
        return *exitCode;
    }
    std::optional<LoadedDocument> document = loadDocument(commandLine.positional().front(), streams.errors);
    if (!document || !options.isValid(streams.errors)) {
        return CliExit::Invalid;
    }
    PlatformSession session(options.session());
    return writeDocument({ .session = session,
                           .environment = environment.empty() ? document->name : environment,
                           .text = std::move(document->text),
                           .expectedVersion = expectedVersion,
                           .streams = streams });
}

CliExit runPromote(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    PlatformOptions options;
    std::string digest;
    std::optional<std::uint64_t> expectedVersion;
    options.addTo(commandLine);
    commandLine.add()("digest", Po::value(&digest), "write only if the document of FROM has this digest");
    addExpectedVersion(commandLine, expectedVersion);
    if (const auto exitCode = commandLine.parse(arguments, { .min = 2, .max = 2 })) {
        return *exitCode;
    }
    if (!options.isValid(streams.errors)) {
        return CliExit::Invalid;
    }
    const std::string &from = commandLine.positional().front();
    PlatformSession session(options.session());
    const EnvironmentObject source = session.read(from);
    if (source.error || source.object.version == 0) {
        return reportReadFailure(from, source, streams.errors);
    }
    if (!digest.empty() && digest != documentDigest(source.text)) {
        streams.errors << "error: " << describe(source.object, source.text) << ", not " << digest << "; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (!checkDocument(source.text, "platform:" + from, streams.errors)) {
        return CliExit::Invalid;
    }
    streams.out << "promoting: " << describe(source.object, source.text) << "\n";
    return writeDocument(
        { .session = session, .environment = commandLine.positional().back(), .text = source.text, .expectedVersion = expectedVersion, .streams = streams });
}

} // namespace Carobhall::Cli
