#include "carobhall/runtime.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>

namespace Carobhall
{

namespace
{

/// Limits the recursion of the parser. Valid requests are not nested as deeply.
constexpr int MaxJsonDepth = 64;

constexpr std::string_view JsonSpace = " \t\r\n";

void skipSpace(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(JsonSpace), text.size()));
}

/// Removes \p expected and the white space before it.
bool take(std::string_view &text, char expected)
{
    skipSpace(text);
    if (!text.starts_with(expected)) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

/// The offset just past the string whose opening quote is at \p quote; npos if it has no end.
std::size_t endOfString(std::string_view text, std::size_t quote)
{
    for (std::size_t at = quote + 1; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return std::string_view::npos;
}

/// Removes the value at the start of \p text: up to the comma or the closing bracket of the object or array around it.
std::optional<std::string_view> takeValue(std::string_view &text)
{
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        switch (text[at]) {
        case '"':
            at = endOfString(text, at);
            if (at == std::string_view::npos) {
                return std::nullopt;
            }
            --at;
            break;
        case '[':
        case '{':
            ++depth;
            break;
        case ',':
        case ']':
        case '}':
            if (depth == 0) {
                const std::string_view value = text.substr(0, at);
                text.remove_prefix(at);
                return value;
            }
            depth -= text[at] == ',' ? 0 : 1;
            break;
        default:
            break;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder readerBuilder;
        Json::CharReaderBuilder::strictMode(&readerBuilder.settings_);
        readerBuilder.settings_["strictRoot"] = false;
        readerBuilder.settings_["stackLimit"] = MaxJsonDepth;
        return readerBuilder;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        if (Json::Value value; reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return value;
        }
    } catch (const Json::Exception &) {
        // JsonCpp throws when the depth limit is exceeded.
    }
    return std::nullopt;
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> members;
    if (!take(text, '{')) {
        return std::nullopt;
    }
    if (!take(text, '}')) {
        do {
            skipSpace(text);
            const std::size_t end = text.starts_with('"') ? endOfString(text, 0) : std::string_view::npos;
            if (end == std::string_view::npos) {
                return std::nullopt;
            }
            const std::string_view name = text.substr(1, end - 2);
            text.remove_prefix(end);
            const std::optional<std::string_view> value = take(text, ':') ? takeValue(text) : std::nullopt;
            if (!value) {
                return std::nullopt;
            }
            members.emplace_back(name, *value);
        } while (take(text, ','));
        if (!take(text, '}')) {
            return std::nullopt;
        }
    }
    skipSpace(text);
    return text.empty() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    if (!take(text, '[')) {
        return std::nullopt;
    }
    if (!take(text, ']')) {
        do {
            const std::optional<std::string_view> value = takeValue(text);
            if (!value) {
                return std::nullopt;
            }
            elements.push_back(*value);
        } while (take(text, ','));
        if (!take(text, ']')) {
            return std::nullopt;
        }
    }
    skipSpace(text);
    return text.empty() ? std::optional(std::move(elements)) : std::nullopt;
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder writerBuilder;
        writerBuilder.settings_["indentation"] = "";
        writerBuilder.settings_["emitUTF8"] = true;
        return writerBuilder;
    }();
    return Json::writeString(builder, value);
}

} // namespace Carobhall
