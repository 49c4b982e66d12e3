#include "json_text.h"

#include <memory>

namespace Carobhall::Standin
{

std::optional<Json::Value> parseJsonText(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return std::nullopt;
        }
    } catch (const Json::Exception &) {
        // jsoncpp throws when the nesting is too deep.
        return std::nullopt;
    }
    return value;
}

std::string writeJsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace Carobhall::Standin
