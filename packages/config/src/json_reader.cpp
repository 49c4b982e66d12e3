#include "json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace Carobhall
{

namespace
{

/// Further errors of a badly damaged file say nothing new.
constexpr std::size_t MaxErrors = 50;
/// Documents nest five levels deep; the limit keeps a hostile file from exhausting the stack.
constexpr int MaxDepth = 32;

bool parseJson(std::string_view text, Json::Value &root, std::string &problem)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["allowTrailingCommas"] = false;
    builder["strictRoot"] = false;
    builder["stackLimit"] = MaxDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        return reader->parse(text.data(), text.data() + text.size(), &root, &problem);
    } catch (const Json::Exception &exception) {
        // jsoncpp reports nesting that is too deep by an exception.
        problem = exception.what();
        return false;
    }
}

/// Splits jsoncpp's "* Line 3, Column 5\n  Missing ..." into the line and the first message.
std::pair<int, std::string> splitProblem(const std::string &problem)
{
    constexpr std::string_view marker = "Line ";
    int line = 1;
    const std::size_t at = problem.find(marker);
    if (at == std::string::npos) {
        return { line, problem };
    }
    std::from_chars(problem.data() + at + marker.size(), problem.data() + problem.size(), line);
    const std::size_t start = std::min(problem.find('\n', at), problem.size() - 1) + 1;
    const std::size_t text = std::min(problem.find_first_not_of(' ', start), problem.size());
    const std::size_t end = std::min(problem.find('\n', text), problem.size());
    return { line, problem.substr(text, end - text) };
}

std::string_view kindOf(const Json::Value &value)
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
    // Quotes the text so that control characters of a damaged file do not reach a terminal.
    return Json::valueToQuotedString(text.c_str());
}

} // namespace

bool isName(std::string_view name)
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
    std::string problem;
    if (!parseJson(text_, root_, problem)) {
        const auto [line, message] = splitProblem(problem);
        errors_.push_back({ .file = file_, .line = line, .path = "(root)", .message = "expected JSON with comments: " + message });
        return false;
    }
    if (!root_.isObject()) {
        fail(root_, "(root)", "expected an object, found " + std::string(kindOf(root_)));
        return false;
    }
    return true;
}

void JsonSource::apply(const SettingOverride &change)
{
    overrideSources_[change.path] = change.source;
    Json::Value *target = &root_;
    std::size_t start = 0;
    for (;;) {
        const std::size_t dot = change.path.find('.', start);
        const std::string key = change.path.substr(start, dot == std::string::npos ? dot : dot - start);
        if (key.empty() || !target->isObject()) {
            fail(*target, change.path, "expected the path of a setting, such as process.zone");
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
    *target = Json::Value(change.value);
}

ObjectReader JsonSource::root()
{
    return { *this, root_, "" };
}

void JsonSource::fail(const Json::Value &value, const std::string &path, std::string expected)
{
    add(errors_, value, path, std::move(expected));
}

void JsonSource::reportUnknown(const Json::Value &value, const std::string &path, std::string expected)
{
    add(unknown_ == UnknownFields::Refused ? errors_ : warnings_, value, path, std::move(expected));
}

void JsonSource::add(std::vector<DocumentError> &list, const Json::Value &value, const std::string &path, std::string expected)
{
    if (list.size() >= MaxErrors) {
        return;
    }
    if (const auto found = overrideSources_.find(path); found != overrideSources_.end()) {
        list.push_back({ .file = found->second, .line = 0, .path = path, .message = std::move(expected) });
        return;
    }
    list.push_back({ .file = file_, .line = lineAt(value.getOffsetStart()), .path = path, .message = std::move(expected) });
}

Json::Value JsonSource::converted(const Json::Value &value, const std::string &path) const
{
    if (!value.isString() || !overrideSources_.contains(path)) {
        return value;
    }
    Json::Value result;
    std::string problem;
    return parseJson(value.asString(), result, problem) ? result : value;
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
        source_->fail(*object_, pathOf(field), "expected this field, which is missing");
    }
    return value;
}

void ObjectReader::fail(const char *field, std::string expected)
{
    const Json::Value *value = object_->find(field, field + std::char_traits<char>::length(field));
    source_->fail(value == nullptr ? *object_ : *value, pathOf(field), std::move(expected));
}

bool ObjectReader::readText(const char *field, std::string &target, Presence presence)
{
    const Json::Value *value = find(field, presence);
    if (value == nullptr) {
        return false;
    }
    if (!value->isString()) {
        fail(field, "expected a string, found " + std::string(kindOf(*value)));
        return false;
    }
    target = value->asString();
    return true;
}

bool ObjectReader::readNumber(const char *field, double &target, Range<double> range, Presence presence, bool whole)
{
    const Json::Value *stored = find(field, presence);
    if (stored == nullptr) {
        return false;
    }
    const Json::Value value = source_->converted(*stored, pathOf(field));
    const std::string expected = std::string("expected ") + (whole ? "a whole number" : "a number") + " from " + formatNumber(range.min) + " to "
        + formatNumber(range.max);
    if (!value.isNumeric() || value.isBool()) {
        fail(field, expected + ", found " + std::string(kindOf(value)));
        return false;
    }
    const double found = value.asDouble();
    // Written so that a value that is not a number fails too.
    const bool inside = found >= range.min && found <= range.max;
    if (!inside || (whole && std::trunc(found) != found)) {
        fail(field, expected + ", found " + formatNumber(found));
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
    if (readText(field, target, presence) && !isName(target)) {
        fail(field, "expected a name of 1 to " + std::to_string(MaxNameLength) + " letters, digits or any of -_.:/, found " + quoted(target));
    }
}

void ObjectReader::address(const char *field, std::string &target, PortRule rule, Presence presence)
{
    if (readText(field, target, presence) && !isAddress(target, rule)) {
        const std::string port = rule == PortRule::Fixed ? " with a port from 1 to 65535" : " with a port from 0 to 65535";
        fail(field, "expected \"ip:port\"" + port + ", found " + quoted(target));
    }
}

void ObjectReader::boolean(const char *field, bool &target, Presence presence)
{
    const Json::Value *stored = find(field, presence);
    if (stored == nullptr) {
        return;
    }
    const Json::Value value = source_->converted(*stored, pathOf(field));
    if (!value.isBool()) {
        fail(field, "expected true or false, found " + std::string(kindOf(value)));
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
    const Json::Value *stored = find(field, presence);
    if (stored == nullptr) {
        return;
    }
    const Json::Value list = source_->converted(*stored, pathOf(field));
    if (!list.isArray()) {
        fail(field, "expected a list of strings, found " + std::string(kindOf(list)));
        return;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        const std::string path = pathOf(field) + "[" + std::to_string(i) + "]";
        if (!list[i].isString()) {
            source_->fail(list[i], path, "expected a string, found " + std::string(kindOf(list[i])));
            continue;
        }
        read(list[i].asString(), list[i], path);
    }
}

void ObjectReader::names(const char *field, std::vector<std::string> &target, Presence presence)
{
    std::set<std::string> seen;
    texts(field, presence, [&](const std::string &text, const Json::Value &value, const std::string &path) {
        if (!isName(text)) {
            source_->fail(value, path, "expected a name of letters, digits or any of -_.:/, found " + quoted(text));
        } else if (!seen.insert(text).second) {
            source_->fail(value, path, "expected a name that occurs once, found \"" + text + "\" again");
        }
        target.push_back(text);
    });
}

void ObjectReader::object(const char *field, Presence presence, const Each &read)
{
    const Json::Value *value = find(field, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->isObject()) {
        fail(field, "expected an object, found " + std::string(kindOf(*value)));
        return;
    }
    ObjectReader reader(*source_, *value, pathOf(field));
    read(reader);
    reader.finish();
}

void ObjectReader::objects(const char *field, Presence presence, const Each &read)
{
    const Json::Value *stored = find(field, presence);
    if (stored == nullptr) {
        return;
    }
    const Json::Value list = source_->converted(*stored, pathOf(field));
    if (!list.isArray()) {
        fail(field, "expected a list of objects, found " + std::string(kindOf(list)));
        return;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        const std::string path = pathOf(field) + "[" + std::to_string(i) + "]";
        if (!list[i].isObject()) {
            source_->fail(list[i], path, "expected an object, found " + std::string(kindOf(list[i])));
            continue;
        }
        ObjectReader reader(*source_, list[i], path);
        read(reader);
        reader.finish();
    }
}

void ObjectReader::unique(const char *field, const std::string &value, std::set<std::string> &seen)
{
    if (!value.empty() && !seen.insert(value).second) {
        fail(field, "expected a value that occurs once, found " + quoted(value) + " again");
    }
}

void ObjectReader::reference(const char *field, const std::string &value, const std::set<std::string> &known, const char *what)
{
    if (!value.empty() && !known.contains(value)) {
        fail(field, std::string("expected the name of ") + what + ", found " + quoted(value));
    }
}

void ObjectReader::finish()
{
    for (const std::string &member : object_->getMemberNames()) {
        if (!known_.contains(member)) {
            std::string fields;
            for (const std::string &field : known_) {
                fields += (fields.empty() ? "" : ", ") + field;
            }
            source_->reportUnknown((*object_)[member], pathOf(member), "expected no such field; the fields here are " + fields);
        }
    }
}

} // namespace Carobhall
