#pragma once

// The commands of `carobhall` for operators, that is, all commands except `serve`.
//
//     carobhall check guild.json
//     carobhall diff guild.json platform:guild --platform 10.0.0.1:8080
//     carobhall apply guild.json --environment guild-trial --platform 10.0.0.1:8080
//     carobhall promote guild-trial guild --platform 10.0.0.1:8080
//     carobhall status 10.0.0.11:7301 10.0.0.12:7301
//     carobhall dump 10.0.0.11:7301
//
// apply and promote use optimistic concurrency: the write names the version that was read, so if two operators write at the same
// time, one write succeeds and the other fails with Conflict. If the platform's response is lost, they read the object back and
// report whether the write was accepted.

#include "carobhall/base.h"

#include <iosfwd>

namespace Carobhall
{

/// Exit codes of the commands. A code has the same meaning in all programs; 3 (address in use) is returned by the servers only.
enum class CliExit : int {
    Success = 0,     ///< Also if diff found no difference or apply found the document unchanged on the platform.
    Failure = 1,     ///< diff found differences, dump read no state, or status found a problem with a process or the platform.
    Invalid = 2,     ///< The command line, a file or a document is invalid.
    Conflict = 4,    ///< Another write changed the environment first. Nothing was changed.
    Unavailable = 5, ///< The platform did not respond. Nothing was changed.
    Unknown = 6,     ///< The write was sent, but it is not known whether it was accepted. Read the environment before retrying.
};

/// Runs the command that argv[1] names and returns the exit code for the process. Results go to standard output, errors to
/// standard error. Blocks until the command ends, and iterates the thread-default GMainContext meanwhile.
[[nodiscard]] int runCli(int argc, char **argv);

/// Output streams of a command.
struct CliStreams {
    std::ostream &out;
    std::ostream &errors;
};

/// Runs a command; \p arguments excludes the program name. Thread-safe if each thread has its own thread-default context.
[[nodiscard]] CliExit runCli(const std::vector<std::string> &arguments, CliStreams streams);

} // namespace Carobhall
