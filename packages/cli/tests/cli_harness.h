#pragma once

// Runs commands in the test's own process and captures their output.

#include "carobhall/cli.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Carobhall
{

struct CliResult {
    CliExit exit = CliExit::Success;
    std::string out;
    std::string errors;
};

inline CliResult run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream errors;
    const CliExit exit = runCli(arguments, { .out = out, .errors = errors });
    return { .exit = exit, .out = out.str(), .errors = errors.str() };
}

/// A file that the destructor removes.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : path_(std::filesystem::temp_directory_path() / ("carobhall-cli-" + toHex(drawIncarnation()) + ".json"))
    {
        std::ofstream(path_, std::ios::binary) << text;
    }
    ~TemporaryFile()
    {
        std::error_code ignored;
        std::filesystem::remove(path_, ignored);
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    [[nodiscard]] std::string path() const
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

/// A small valid document that begins with \p comment as a comment and gives its account the share \p share.
inline std::string sampleDocument(const std::string &comment = "", const std::string &share = "1")
{
    return "// " + comment + R"(
{
    "name": "guild",
    "regions": [{ "name": "hr-kontinent" }],
    "zones": [{ "name": "zagreb-a", "region": "hr-kontinent" }],
    "ranks": {
        "paying": { "floor": 0.7, "firstTokenTargetMs": 400, "betweenTokensTargetMs": 43, "deadlineMs": 5000 },
        "free": { "floor": 0.1, "firstTokenTargetMs": 2000, "betweenTokensTargetMs": 100, "deadlineMs": 20000 }
    },
    "accounts": [{ "name": "zadar-ferries", "keyDigests": [], "rank": "paying", "share": )"
        + share + R"( }]
}
)";
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace Carobhall
