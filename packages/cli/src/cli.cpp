#include "commands.h"

#include "carobhall/configuration.h"
#include "carobhall/document.h"

#include <json/writer.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Carobhall
{

namespace Cli
{

namespace
{

constexpr std::array Commands{
    Command{ "check", "FILE", "check an environment document", &runCheck },
    Command{ "diff", "A B", "compare the values of two documents; each is a file or platform:ENVIRONMENT", &runDiff },
    Command{ "apply", "FILE", "write a document to the platform, which puts it into effect", &runApply },
    Command{ "promote", "FROM TO", "copy the document of environment FROM, byte for byte, to environment TO", &runPromote },
    Command{ "status", "ADDRESS...", "show state and configuration version of processes, read from their admin listeners", &runStatus },
    Command{ "dump", "ADDRESS", "print the full state of a process as JSON, read from its admin listener", &runDump },
    Command{ "digest", "[FILE]", "print the digest, for keyDigests, of a bearer key in a file or on standard input", &runDigest },
};

constexpr const char *ExitCodes = "Exit codes: 0 success, 1 failure or difference, 2 invalid command line or document, 4 conflict with another write,\n"
                                  "5 platform unavailable (nothing changed), 6 outcome of the write unknown\n";

/// Reserve for the parts of the object's JSON form besides the spec: names, versions and the record of earlier writes.
constexpr std::size_t ObjectOverheadBytes = 4096;

/// Size of the document as the platform counts it, in bytes. JSON escapes quotes and line ends, which then take two bytes each.
std::size_t platformValueSize(const std::string &text)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, encodeEnvironment(text)).size() + ObjectOverheadBytes;
}

void printUsage(std::ostream &out)
{
    out << "usage: carobhall COMMAND [OPTIONS]\n\ncommands:\n  serve      run an entry process\n";
    for (const Command &command : Commands) {
        out << "  " << command.name << std::string(11 - std::string_view(command.name).size(), ' ') << command.summary << "\n";
    }
    out << "\nRun carobhall COMMAND --help for the options of a command.\n" << ExitCodes;
}

} // namespace

// Command lines -----------------------------------------------------------------------------------

CommandLine::CommandLine(const Command &command, CliStreams streams)
    : command_(command)
    , streams_(streams)
    , options_("Options")
{
    options_.add_options()("help", "show this help")("version", "show the version");
}

Po::options_description_easy_init CommandLine::add()
{
    return options_.add_options();
}

std::optional<CliExit> CommandLine::parse(const std::vector<std::string> &arguments, PositionalRange range)
{
    constexpr const char *positionalName = "argument";
    Po::options_description all;
    all.add(options_).add_options()(positionalName, Po::value(&positional_));
    Po::positional_options_description positions;
    positions.add(positionalName, -1);
    const std::string usage = std::string("usage: carobhall ") + command_.name + " " + command_.arguments + " [OPTIONS]\n";
    try {
        Po::variables_map values;
        Po::store(Po::command_line_parser(arguments).options(all).positional(positions).run(), values);
        if (values.count("help") > 0) {
            streams_.out << usage << command_.summary << "\n\n" << options_ << ExitCodes;
            return CliExit::Success;
        }
        if (values.count("version") > 0) {
            printVersion(streams_.out);
            return CliExit::Success;
        }
        Po::notify(values);
    } catch (const Po::error &error) {
        streams_.errors << "error: " << error.what() << "\n" << usage;
        return CliExit::Invalid;
    }
    if (positional_.size() < range.min || positional_.size() > range.max) {
        streams_.errors << usage;
        return CliExit::Invalid;
    }
    return std::nullopt;
}

const std::vector<std::string> &CommandLine::positional() const
{
    return positional_;
}

void printVersion(std::ostream &out)
{
    out << "carobhall " << CAROBHALL_VERSION << "\n";
}

// Files and documents -----------------------------------------------------------------------------

std::optional<std::string> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    // A directory can be opened, but reading it fails.
    return file.bad() ? std::nullopt : std::optional(text.str());
}

std::optional<LoadedDocument> checkDocument(std::string text, const std::string &source, std::ostream &errors)
{
    const ParsedDocument parsed = parseDocument(text, source);
    for (const DocumentError &error : parsed.errors) {
        errors << toString(error) << "\n";
    }
    if (!parsed.ok()) {
        return std::nullopt;
    }
    if (const std::size_t size = platformValueSize(text); size > PlatformValueLimit) {
        errors << source << ": the document takes " << size << " bytes on the platform, which accepts at most " << PlatformValueLimit << "\n";
        return std::nullopt;
    }
    return LoadedDocument{ .text = std::move(text), .name = parsed.document.name };
}

std::optional<LoadedDocument> loadDocument(const std::string &path, std::ostream &errors)
{
    std::optional<std::string> text = readFile(path);
    if (!text) {
        errors << "error: cannot read " << path << "\n";
        return std::nullopt;
    }
    return checkDocument(std::move(*text), path, errors);
}

} // namespace Cli

// Entry points ------------------------------------------------------------------------------------

CliExit runCli(const std::vector<std::string> &arguments, CliStreams streams)
{
    const std::string name = arguments.empty() ? std::string() : arguments.front();
    if (name == "--help" || name == "help") {
        Cli::printUsage(streams.out);
        return CliExit::Success;
    }
    if (name == "--version") {
        Cli::printVersion(streams.out);
        return CliExit::Success;
    }
    const auto command = std::find_if(Cli::Commands.begin(), Cli::Commands.end(), [&name](const Cli::Command &known) { return known.name == name; });
    if (command == Cli::Commands.end()) {
        if (!name.empty()) {
            streams.errors << "error: unknown command \"" << name << "\"\n";
        }
        Cli::printUsage(streams.errors);
        return CliExit::Invalid;
    }
    return command->run(*command, { std::next(arguments.begin()), arguments.end() }, streams);
}

int runCli(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    return static_cast<int>(runCli(arguments, { .out = std::cout, .errors = std::cerr }));
}

} // namespace Carobhall
