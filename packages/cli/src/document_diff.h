#pragma once

// Differences between the values of two documents.

#include <json/value.h>

#include <string>
#include <vector>

namespace Carobhall::Cli
{

/// One value that differs. An empty text stands for a value that is missing.
struct ValueChange {
    std::string path; ///< For example "accounts[port-of-rijeka].share".
    std::string before;
    std::string after;
};

/// The differences in the order of their paths. Elements of a list are matched by their field "name" where all have one, and
/// by position otherwise. Thread-safe.
[[nodiscard]] std::vector<ValueChange> diffValues(const Json::Value &before, const Json::Value &after);

} // namespace Carobhall::Cli
