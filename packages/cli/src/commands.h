#pragma once

// The table of commands and what they share: command lines, files and documents.

#include "carobhall/cli.h"

#include <boost/program_options.hpp>

namespace Carobhall::Cli
{

namespace Po = boost::program_options;

struct Command {
    const char *name;
    const char *arguments; ///< For the usage line.
    const char *summary;
    CliExit (*run)(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
};

CliExit runCheck(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runDigest(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runDiff(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runApply(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runPromote(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runStatus(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);
CliExit runDump(const Command &command, const std::vector<std::string> &arguments, CliStreams streams);

/// How many positional arguments a command takes.
struct PositionalRange {
    std::size_t min;
    std::size_t max;
};

/// The command line of one command: its options, --help and --version, and positional arguments.
class CommandLine
{
public:
    CommandLine(const Command &command, CliStreams streams);

    [[nodiscard]] Po::options_description_easy_init add();
    /// Reads \p arguments. Returns an exit code when there is nothing more to do.
    [[nodiscard]] std::optional<CliExit> parse(const std::vector<std::string> &arguments, PositionalRange range);
    [[nodiscard]] const std::vector<std::string> &positional() const;

private:
    const Command &command_;
    CliStreams streams_;
    Po::options_description options_;
    std::vector<std::string> positional_;
};

void printVersion(std::ostream &out);

/// The contents of a file, or nothing when it cannot be read. "-" is standard input.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);

/// Reads and checks a document. Writes errors and returns nothing when it cannot be read, is not valid or is too large for
/// the platform.
struct LoadedDocument {
    std::string text;
    std::string name; ///< The document's own name.
};
[[nodiscard]] std::optional<LoadedDocument> loadDocument(const std::string &path, std::ostream &errors);
/// The same checks on a text that is already read; \p source is named in errors.
[[nodiscard]] std::optional<LoadedDocument> checkDocument(std::string text, const std::string &source, std::ostream &errors);

} // namespace Carobhall::Cli
