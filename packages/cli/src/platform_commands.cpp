#include "platform_options.h"

#include "carobhall/configuration.h"

#include <gio/gio.h>

#include <iostream>

namespace Carobhall::Cli
{

namespace
{

/// What apply and promote have in common: text is to be in effect under a name.
struct Acceptance {
    PlatformSession &session;
    std::string environment;
    std::string text;
    std::optional<std::uint64_t> expectedVersion; ///< Of the environment now; none: whichever is read.
    CliStreams streams;
};

std::string describe(const PlatformObject &object, const std::string &text)
{
    return object.name + " version " + std::to_string(object.version) + ", digest " + documentDigest(text);
}

CliExit reportWrite(const Acceptance &wanted, const PlatformReply &reply)
{
    std::ostream &errors = wanted.streams.errors;
    if (reply.verdict == Verdict::MayHaveRun) {
        errors << "error: " << wanted.environment << ": it is not known whether the document was accepted (" << reply.error.message()
               << "); read it with carobhall diff before trying again\n";
        return CliExit::Unknown;
    }
    if (reply.error == Errc::Conflict || reply.error == Errc::AlreadyExists) {
        errors << "error: " << wanted.environment << ": another write came first; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (reply.error == Errc::TooLarge) {
        errors << "error: " << wanted.environment << ": the platform refused the document as too large; nothing was changed\n";
        return CliExit::Invalid;
    }
    if (reply.error) {
        errors << "error: " << wanted.environment << ": not accepted (" << reply.error.message() << "); nothing was changed\n";
        return CliExit::Unavailable;
    }
    const std::optional<std::string> held = decodeEnvironment(reply.object.spec);
    if (held != wanted.text) {
        // The answer was lost and a later write has replaced the document before it was read back.
        wanted.streams.out << "accepted, digest " << documentDigest(wanted.text) << "; replaced since by version " << reply.object.version << "\n";
        return CliExit::Success;
    }
    wanted.streams.out << "accepted: " << describe(reply.object, *held) << "\n";
    return CliExit::Success;
}

CliExit accept(const Acceptance &wanted)
{
    const EnvironmentObject current = wanted.session.read(wanted.environment);
    // An object that is damaged can be replaced; its version is known.
    const bool isDamaged = current.error == Errc::InvalidDocument;
    if (current.error && !isDamaged) {
        return reportRead(wanted.environment, current, wanted.streams.errors);
    }
    if (wanted.expectedVersion && *wanted.expectedVersion != current.object.version) {
        wanted.streams.errors << "error: " << wanted.environment << " has version " << current.object.version << ", not " << *wanted.expectedVersion
                              << "; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (!isDamaged && current.object.version != 0 && current.text == wanted.text) {
        wanted.streams.out << "already in place: " << describe(current.object, current.text) << "\n";
        return CliExit::Success;
    }
    return reportWrite(wanted, wanted.session.write(current.object, wanted.text));
}

void addExpectedVersion(CommandLine &line, std::optional<std::uint64_t> &version)
{
    line.add()("expect-version", Po::value<std::uint64_t>()->notifier([&version](std::uint64_t given) { version = given; }),
               "refuse unless the environment has this version now; 0: it does not exist");
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

void PlatformOptions::addTo(CommandLine &line)
{
    line.add()("platform", Po::value(&address), "IP:PORT of the platform's object API");
    line.add()("timeout-ms", Po::value(&timeoutMillis)->default_value(timeoutMillis), "time for one read or write with all of its retries");
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

CliExit reportRead(const std::string &environment, const EnvironmentObject &found, std::ostream &errors)
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
    CommandLine line(command, streams);
    PlatformOptions options;
    std::string environment;
    std::optional<std::uint64_t> expectedVersion;
    options.addTo(line);
    line.add()("environment", Po::value(&environment), "name on the platform; by default the document's own name");
    addExpectedVersion(line, expectedVersion);
    if (const auto ended = line.parse(arguments, { .min = 1, .max = 1 })) {
        return *ended;
    }
    std::optional<LoadedDocument> document = loadDocument(line.positional().front(), streams.errors);
    if (!document || !options.isValid(streams.errors)) {
        return CliExit::Invalid;
    }
    PlatformSession session(options.session());
    return accept({ .session = session,
                    .environment = environment.empty() ? document->name : environment,
                    .text = std::move(document->text),
                    .expectedVersion = expectedVersion,
                    .streams = streams });
}

CliExit runPromote(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine line(command, streams);
    PlatformOptions options;
    std::string digest;
    std::optional<std::uint64_t> expectedVersion;
    options.addTo(line);
    line.add()("digest", Po::value(&digest), "refuse unless FROM holds the document with this digest");
    addExpectedVersion(line, expectedVersion);
    if (const auto ended = line.parse(arguments, { .min = 2, .max = 2 })) {
        return *ended;
    }
    if (!options.isValid(streams.errors)) {
        return CliExit::Invalid;
    }
    const std::string &from = line.positional().front();
    PlatformSession session(options.session());
    const EnvironmentObject source = session.read(from);
    if (source.error || source.object.version == 0) {
        return reportRead(from, source, streams.errors);
    }
    if (!digest.empty() && digest != documentDigest(source.text)) {
        streams.errors << "error: " << describe(source.object, source.text) << ", not " << digest << "; nothing was changed\n";
        return CliExit::Conflict;
    }
    if (!checkDocument(source.text, "platform:" + from, streams.errors)) {
        return CliExit::Invalid;
    }
    streams.out << "promoting: " << describe(source.object, source.text) << "\n";
    return accept({ .session = session, .environment = line.positional().back(), .text = source.text, .expectedVersion = expectedVersion, .streams = streams });
}

} // namespace Carobhall::Cli
