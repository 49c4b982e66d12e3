#pragma once

// The operators' commands of `carobhall`, all but `serve`.
//
//     carobhall check guild.json
//     carobhall diff guild.json platform:guild --platform 10.0.0.1:8080
//     carobhall apply guild.json --environment guild-trial --platform 10.0.0.1:8080
//     carobhall promote guild-trial guild --platform 10.0.0.1:8080
//     carobhall status 10.0.0.11:7301 10.0.0.12:7301
//     carobhall dump 10.0.0.11:7301
//
// apply and promote write on the version that they read, so that of two operators one wins and the other is told. When the
// platform's answer is lost they read back and say whether the write was accepted.

#include "carobhall/base.h"

#include <iosfwd>

namespace Carobhall
{

/// Process exit codes of the commands. A number has the same meaning in all programs; 3 belongs to the processes.
enum class CliExit : int {
    Success = 0,     ///< Also: diff found no difference, apply found the same document in place.
    Failure = 1,     ///< diff found differences; status or dump found a process that does not answer or is not in order.
    Invalid = 2,     ///< The command line, a file or a document is not valid.
    Conflict = 4,    ///< Another write came first. Nothing was changed.
    Unavailable = 5, ///< The platform did not answer. Nothing was changed.
    Unknown = 6,     ///< The write was sent and it is not known whether it was accepted. Read the environment before trying again.
};

/// Runs the command that argv[1] names and returns the process's exit code. Results go to standard output, errors to
/// standard error. Blocks, while it iterates the thread-default GMainContext.
[[nodiscard]] int runCli(int argc, char **argv);

/// Where a command writes.
struct CliStreams {
    std::ostream &out;
    std::ostream &errors;
};

/// The same for the arguments after the program's name. Thread-safe when each thread has a thread-default context of its own.
[[nodiscard]] CliExit runCli(const std::vector<std::string> &arguments, CliStreams streams);

} // namespace Carobhall
