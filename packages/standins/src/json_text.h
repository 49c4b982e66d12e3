#pragma once

// Parses and writes JSON text.

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace Carobhall::Standin
{

/// Parses \p text in strict mode. Returns nullopt when it is not valid JSON.
[[nodiscard]] std::optional<Json::Value> parseJsonText(std::string_view text);

/// Writes \p value without whitespace, in UTF-8.
[[nodiscard]] std::string writeJsonText(const Json::Value &value);

} // namespace Carobhall::Standin
