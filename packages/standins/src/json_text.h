#pragma once

// JSON values to and from text.

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace Carobhall::Standin
{

/// Nothing when \p text is not JSON.
[[nodiscard]] std::optional<Json::Value> parseJsonText(std::string_view text);

/// Compact, in UTF-8.
[[nodiscard]] std::string writeJsonText(const Json::Value &value);

} // namespace Carobhall::Standin
