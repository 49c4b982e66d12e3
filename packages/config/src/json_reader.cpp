#include "json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace Carobhall
{

namespace
{

/// Limit of reported errors. In a badly damaged file, further errors repeat the same cause.
constexpr std::size_t MaxErrors = 50;
/// Valid documents nest five levels deep. The limit keeps a malicious file from exhausting the stack.
constexpr int MaxNestingDepth = 32;

bool parseJson(std::string_view text, Json::Value &root, std::string &parserMessage)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["allowTrailingCommas"] = false;
    builder["strictRoot"] = false;
    builder["stackLimit"] = MaxNestingDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        return reader->parse(text.data(), text.data() + text.size(), &root, &parserMessage);
    } catch (const Json::Exception &exception) {
        // jsoncpp throws if the nesting exceeds the stack limit.
        parserMessage = exception.what();
        return false;
    }
}

/// Extracts the line number and the text of the first error from jsoncpp's "* Line 3, Column 5\n  Missing ...".
std::pair<int, std::string> splitParserMessage(const std::string &parserMessage)
{
    constexpr std::string_view marker = "Line ";
    int line = 1;
    const std::size_t at = parserMessage.find(marker);
    if (at == std::string::npos) {
        return { line, parserMessage };
    }
    std::from_chars(parserMessage.data() + at + marker.size(), parserMessage.data() + parserMessage.size(), line);
    const std::size_t start = std::min(parserMessage.find('\n', at), parserMessage.size() - 1) + 1;
    const std::size_t text = std::min(parserMessage.find_first_not_of(' ', start), parserMessage.size());
    const std::size_t end = std::min(parserMessage.find('\n', text), parserMessage.size());
    return { line, parserMessage.substr(text, end - text) };
}

std::string_view typeName(const Json::Value &value)
{
    switch (value.type()) {
    case Json::nullValue:
        return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
        return "a number";
    case Json::stringValue:
        return "a string";
    case Json::booleanValue:
        return "true or false";
    case Json::arrayValue:
        return "a list";
    case Json::objectValue:
        return "an object";
    }
    return "something else";
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), end };
}

std::string quoted(const std::string &text)
{
    // Escapes control characters, so that those of a damaged file do not reach the terminal.
    return Json::valueToQuotedString(text.c_str());
}

} // namespace

bool isValidName(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || std::string_view("-_.:/").find(c) != std::string_view::npos;
    };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), allowed);
}

bool isAddress(std::string_view address, PortRule rule)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    std::string host(address.substr(0, colon));
    const std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || (port == 0 && rule == PortRule::Fixed)) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), binary.data()) == 1;
}

bool isHex(std::string_view text, std::size_t length)
{
    return text.size() == length && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string toString(const DocumentError &error)
{
    const std::string line = error.line > 0 ? std::to_string(error.line) + ":" : "";
    return error.file + ":" + line + " " + error.path + ": " + error.message;
}

// JsonSource --------------------------------------------------------------------------------------

JsonSource::JsonSource(std::string_view text, std::string_view file, UnknownFields unknown)
    : text_(text)
    , file_(file)
    , unknown_(unknown)
{
}

bool JsonSource::parse()
{
    std::string parserMessage;
    if (!parseJson(text_, root_, parserMessage)) {
        const auto [line, message] = splitParserMessage(parserMessage);
        errors_.push_back({ .file = file_, .line = line, .path = "(root)", .message = "invalid JSON: " + message });
        return false;
    }
    if (!root_.isObject()) {
        addError(root_, "(root)", "expected an object, found " + std::string(typeName(root_)));
        return false;
    }
    return true;
}

void JsonSource::applyOverride(const SettingOverride &setting)
{
    overrideSources_[setting.path] = setting.source;
    Json::Value *target = &root_;
    std::size_t start = 0;
    for (;;) {
        const std::size_t dot = setting.path.find('.', start);
        const std::string key = setting.path.substr(start, dot == std::string::npos ? dot : dot - start);
        if (key.empty() || !target->isObject()) {
            addError(*target, setting.path, "expected the path of a setting, such as process.zone");
            return;
        }
        target = &(*target)[key];
        if (dot == std::string::npos) {
            break;
        }
        if (target->isNull()) {
            *target = Json::Value(Json::objectValue);
        }
        start = dot + 1;
    }
    *target = Json::Value(setting.value);
}

ObjectReader JsonSource::root()
{
    return { *this, root_, "" };
}

void JsonSource::addError(const Json::Value &value, const std::string &path, std::string message)
{
    add(errors_, value, path, std::move(message));
}

void JsonSource::reportUnknown(const Json::Value &value, const std::string &path, std::string message)
{
    add(unknown_ == UnknownFields::Refused ? errors_ : warnings_, value, path, std::move(message));
}

void JsonSource::add(std::vector<DocumentError> &list, const Json::Value &value, const std::string &path, std::string message)
{
    if (list.size() >= MaxErrors) {
        return;
    }
    if (const auto found = overrideSources_.find(path); found != overrideSources_.end()) {
        list.push_back({ .file = found->second, .line = 0, .path = path, .message = std::move(message) });
        return;
    }
    list.push_back({ .file = file_, .line = lineAt(value.getOffsetStart()), .path = path, .message = std::move(message) });
}

Json::Value JsonSource::parseOverride(const Json::Value &value, const std::string &path) const
{
    if (!value.isString() || !overrideSources_.contains(path)) {
        return value;
    }
    Json::Value result;
    std::string parserMessage;
    return parseJson(value.asString(), result, parserMessage) ? result : value;
}

int JsonSource::lineAt(std::ptrdiff_t offset) const
{
    const std::ptrdiff_t end = std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(text_.size()));
    return 1 + static_cast<int>(std::count(text_.begin(), text_.begin() + end, '\n'));
}

// ObjectReader ------------------------------------------------------------------------------------

ObjectReader::ObjectReader(JsonSource &source, const Json::Value &object, std::string path)
    : source_(&source)
    , object_(&object)
    , path_(std::move(path))
{
}

std::string ObjectReader::pathOf(std::string_view field) const
{
    if (path_.empty()) {
        return field.empty() ? "(root)" : std::string(field);
    }
    return field.empty() ? path_ : path_ + "." + std::string(field);
}

const Json::Value *ObjectReader::find(const char *field, Presence presence)
{
    known_.insert(field);
    const Json::Value *value = object_->find(field, field + std::char_traits<char>::length(field));
    if (value == nullptr && presence == Presence::Required) {
        source_->addError(*object_, pathOf(field), "required field is missing");
    }
    return value;
}

void ObjectReader::addError(const char *field, std::string message)
{
    const Json::Value *value = object_->find(field, field + std::char_traits<char>::length(field));
    source_->addError(value == nullptr ? *object_ : *value, pathOf(field), std::move(message));
}

bool ObjectReader::readText(const char *field, std::string &target, Presence presence)
{
    const Json::Value *value = find(field, presence);
    if (value == nullptr) {
        return false;
    }
    if (!value->isString()) {
        addError(field, "expected a string, found " + std::string(typeName(*value)));
        return false;
    }
    target = value->asString();
    return true;
}

bool ObjectReader::readNumber(const char *field, double &target, Range<double> range, Presence presence, bool integral)
{
    const Json::Value *fieldValue = find(field, presence);
    if (fieldValue == nullptr) {
        return false;
    }
    const Json::Value value = source_->parseOverride(*fieldValue, pathOf(field));
    const std::string expected = std::string("expected ") + (integral ? "a whole number" : "a number") + " from " + formatNumber(range.min) + " to "
        + formatNumber(range.max);
    if (!value.isNumeric() || value.isBool()) {
        addError(field, expected + ", found " + std::string(typeName(value)));
        return false;
    }
    const double found = value.asDouble();
    // Written so that NaN, for which every comparison is false, counts as out of range.
    const bool isInRange = found >= range.min && found <= range.max;
    if (!isInRange || (integral && std::trunc(found) != found)) {
        addError(field, expected + ", found " + formatNumber(found));
        return false;
    }
    target = found;
    return true;
}

void ObjectReader::text(const char *field, std::string &target, Presence presence)
{
    readText(field, target, presence);
}

void ObjectReader::name(const char *field, std::string &target, Presence presence)
{
    if (readText(field, target, presence) && !isValidName(target)) {
        addError(field, "expected a name of 1 to " + std::to_string(MaxNameLength) + " letters, digits or any of -_.:/, found " + quoted(target));
    }
}

void ObjectReader::address(const char *field, std::string &target, PortRule rule, Presence presence)
{
    if (readText(field, target, presence) && !isAddress(target, rule)) {
        const std::string port = rule == PortRule::Fixed ? " with a port from 1 to 65535" : " with a port from 0 to 65535";
        addError(field, "expected \"ip:port\"" + port + ", found " + quoted(target));
    }
}

void ObjectReader::boolean(const char *field, bool &target, Presence presence)
{
    const Json::Value *fieldValue = find(field, presence);
    if (fieldValue == nullptr) {
        return;
    }
    const Json::Value value = source_->parseOverride(*fieldValue, pathOf(field));
    if (!value.isBool()) {
        addError(field, "expected true or false, found " + std::string(typeName(value)));
        return;
    }
    target = value.asBool();
}

void ObjectReader::number(const char *field, double &target, Range<double> range, Presence presence)
{
    readNumber(field, target, range, presence, false);
}

void ObjectReader::millis(const char *field, Micros &target, Range<double> range, Presence presence)
{
    double value = 0.0;
    if (readNumber(field, value, range, presence, false)) {
        target = static_cast<Micros>(std::llround(value * static_cast<double>(MicrosPerMilli)));
    }
}

void ObjectReader::texts(const char *field, Presence presence,
                         const std::function<void(const std::string &text, const Json::Value &value, const std::string &path)> &read)
{
    const Json::Value *fieldValue = find(field, presence);
    if (fieldValue == nullptr) {
        return;
    }
    const Json::Value list = source_->parseOverride(*fieldValue, pathOf(field));
    if (!list.isArray()) {
        addError(field, "expected a list of strings, found " + std::string(typeName(list)));
        return;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        const std::string path = pathOf(field) + "[" + std::to_string(i) + "]";
        if (!list[i].isString()) {
            source_->addError(list[i], path, "expected a string, found " + std::string(typeName(list[i])));
            continue;
        }
        read(list[i].asString(), list[i], path);
    }
}

void ObjectReader::names(const char *field, std::vector<std::string> &target, Presence presence)
{
    std::set<std::string> seen;
    texts(field, presence, [&](const std::string &text, const Json::Value &value, const std::string &path) {
        if (!isValidName(text)) {
            source_->addError(value, path, "expected a name of letters, digits or any of -_.:/, found " + quoted(text));
        } else if (!seen.insert(text).second) {
            source_->addError(value, path, "expected a unique name, found \"" + text + "\" a second time");
        }
        target.push_back(text);
    });
}

void ObjectReader::object(const char *field, Presence presence, const ReadObject &read)
{
    const Json::Value *value = find(field, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->isObject()) {
        addError(field, "expected an object, found " + std::string(typeName(*value)));
        return;
    }
    ObjectReader reader(*source_, *value, pathOf(field));
    read(reader);
    reader.reportUnknownFields();
}

void ObjectReader::objects(const char *field, Presence presence, const ReadObject &read)
{
    const Json::Value *fieldValue = find(field, presence);
    if (fieldValue == nullptr) {
        return;
    }
    const Json::Value list = source_->parseOverride(*fieldValue, pathOf(field));
    if (!list.isArray()) {
        addError(field, "expected a list of objects, found " + std::string(typeName(list)));
        return;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        const std::string path = pathOf(field) + "[" + std::to_string(i) + "]";
        if (!list[i].isObject()) {
            source_->addError(list[i], path, "expected an object, found " + std::string(typeName(list[i])));
            continue;
        }
        ObjectReader reader(*source_, list[i], path);
        read(reader);
        reader.reportUnknownFields();
    }
}

void ObjectReader::checkUnique(const char *field, const std::string &value, std::set<std::string> &seen)
{
    if (!value.empty() && !seen.insert(value).second) {
        addError(field, "expected a unique value, found " + quoted(value) + " a second time");
    }
}

void ObjectReader::checkReference(const char *field, const std::string &value, const std::set<std::string> &known, const char *what)
{
    if (!value.empty() && !known.contains(value)) {
        addError(field, std::string("expected the name of ") + what + ", found " + quoted(value));
    }
}

void ObjectReader::reportUnknownFields()
{
    for (const std::string &member : object_->getMemberNames()) {
        if (!known_.contains(member)) {
            std::string fields;
            for (const std::string &field : known_) {
                fields += (fields.empty() ? "" : ", ") + field;
            }
            source_->reportUnknown((*object_)[member], pathOf(member), "unknown field; the known fields are " + fields);
        }
    }
}

} // namespace Carobhall
