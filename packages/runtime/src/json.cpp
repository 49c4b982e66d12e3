#include "carobhall/runtime.h"

#include <json/reader.h>
#include <json/writer.h>

namespace Carobhall
{

namespace
{

/// Limits the recursion of the parser. Valid requests are not nested as deeply.
constexpr int MaxJsonDepth = 64;

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
