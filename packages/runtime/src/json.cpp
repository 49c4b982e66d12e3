#include "carobhall/runtime.h"

#include <json/reader.h>
#include <json/writer.h>

namespace Carobhall
{

namespace
{

/// Deeper nesting has no use in requests, and the parser recurses.
constexpr int MaxJsonDepth = 64;

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder made;
        Json::CharReaderBuilder::strictMode(&made.settings_);
        made.settings_["strictRoot"] = false;
        made.settings_["stackLimit"] = MaxJsonDepth;
        return made;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        if (Json::Value value; reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return value;
        }
    } catch (const Json::Exception &) {
        // The depth limit is reported by an exception.
    }
    return std::nullopt;
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder made;
        made.settings_["indentation"] = "";
        made.settings_["emitUTF8"] = true;
        return made;
    }();
    return Json::writeString(builder, value);
}

} // namespace Carobhall
