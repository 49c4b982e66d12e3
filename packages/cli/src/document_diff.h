#pragma once

// Comparison of the values of two documents.

#include <json/value.h>

#include <string>
#include <vector>

namespace Carobhall::Cli
{

/// One value that differs. The values are JSON texts; an empty one means that the value is missing.
struct ValueChange {
    std::string path; ///< For example "accounts[port-of-rijeka].share".
    std::string before;
    std::string after;
};

/// Returns the differences in the order of their paths. List elements are matched by their field "name" if all elements of both
/// lists have a unique one, and by position otherwise. Thread-safe.
[[nodiscard]] std::vector<ValueChange> diffValues(const Json::Value &before, const Json::Value &after);

} // namespace Carobhall::Cli
