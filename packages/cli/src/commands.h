#pragma once

// Declarations of the commands and their common code: command lines, files and documents.

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

/// Number of positional arguments that a command accepts.
struct PositionalRange {
    std::size_t min;
    std::size_t max;
};

/// Parser for the command line of one command: positional arguments, the options --help and --version, and those of add().
class CommandLine
{
public:
    CommandLine(const Command &command, CliStreams streams);

    /// Adds options, in the syntax of Boost.Program_options.
    [[nodiscard]] Po::options_description_easy_init add();
    /// Parses \p arguments. Returns an exit code if the command ends here: after --help, --version or an error.
    [[nodiscard]] std::optional<CliExit> parse(const std::vector<std::string> &arguments, PositionalRange range);
    [[nodiscard]] const std::vector<std::string> &positional() const;

private:
    const Command &command_;
    CliStreams streams_;
    Po::options_description options_;
    std::vector<std::string> positional_;
};

void printVersion(std::ostream &out);

/// The contents of a file, or std::nullopt if it cannot be read. "-" is standard input.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path);

/// A valid document.
struct LoadedDocument {
    std::string text;
    std::string name; ///< Value of the document's field "name".
};
/// Reads and validates a document. Writes errors and returns std::nullopt if it cannot be read, is invalid or is too large for
/// the platform.
[[nodiscard]] std::optional<LoadedDocument> loadDocument(const std::string &path, std::ostream &errors);
/// Validates a document like loadDocument(), but takes its text. Errors name \p source.
[[nodiscard]] std::optional<LoadedDocument> checkDocument(std::string text, const std::string &source, std::ostream &errors);

} // namespace Carobhall::Cli
