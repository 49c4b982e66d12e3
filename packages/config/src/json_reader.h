#pragma once

// Reader for JSON with comments. Reads an object field by field and collects errors with file, line and path.
//
//     JsonSource source(text, file);
//     if (source.parse()) {
//         ObjectReader root = source.root();
//         root.text("name", document.name);
//         root.reportUnknownFields();
//     }
//
// Index
//   1. Values           presence, ranges and formats
//   2. JsonSource       the parsed text, overrides and the error list
//   3. ObjectReader     one JSON object

#include "carobhall/settings.h"

#include <json/json.h>

#include <cmath>
#include <functional>
#include <limits>
#include <set>

namespace Carobhall
{

// 1. Values ---------------------------------------------------------------------------------------

enum class Presence : std::uint8_t { Required, Optional };

/// A closed range of numbers.
template<typename Number>
struct Range {
    Number min;
    Number max;
};

/// Upper limit of duration fields: one day.
inline constexpr double MaxDurationMillis = 24.0 * 60 * 60 * 1000;
inline constexpr Range<double> NonNegativeMillis{ 0.0, MaxDurationMillis };
inline constexpr Range<double> PositiveMillis{ 0.001, MaxDurationMillis };

inline constexpr std::size_t MaxNameLength = 128;

/// Whether \p name has 1 to MaxNameLength characters, all of them letters, digits or one of "-_.:/".
[[nodiscard]] bool isValidName(std::string_view name);

/// Whether an address may have port 0, with which a listener gets any free port.
enum class PortRule : std::uint8_t { Fixed, MayBeZero };

/// Whether \p address is "ip:port" with an IPv4 address, or with an IPv6 address in brackets.
[[nodiscard]] bool isAddress(std::string_view address, PortRule rule);

/// Whether \p text consists of exactly \p length lower-case hexadecimal digits.
[[nodiscard]] bool isHex(std::string_view text, std::size_t length);

// 2. JsonSource -----------------------------------------------------------------------------------

class ObjectReader;

/// Parsed JSON text with its overrides and errors. Does not copy the text. Not thread-safe.
class JsonSource
{
public:
    JsonSource(std::string_view text, std::string_view file, UnknownFields unknown = UnknownFields::Refused);

    /// Parses the text. Adds an error and returns false if the text is not JSON or its root is not an object.
    bool parse();
    /// Sets the field that \p setting names to its value. Precondition: parse() returned true.
    void applyOverride(const SettingOverride &setting);
    /// Reader for the root object. Precondition: parse() returned true.
    [[nodiscard]] ObjectReader root();

    /// Adds an error for the field at \p path, with the line of \p value.
    void addError(const Json::Value &value, const std::string &path, std::string message);
    /// Adds an error or a warning, depending on UnknownFields, for the unknown field at \p path.
    void reportUnknown(const Json::Value &value, const std::string &path, std::string message);
    /// The value for a field that is not a string: \p value, or, if an override set it as text, that text parsed as JSON.
    [[nodiscard]] Json::Value parseOverride(const Json::Value &value, const std::string &path) const;

    [[nodiscard]] std::vector<DocumentError> &errors()
    {
        return errors_;
    }
    [[nodiscard]] std::vector<DocumentError> &warnings()
    {
        return warnings_;
    }

private:
    void add(std::vector<DocumentError> &list, const Json::Value &value, const std::string &path, std::string message);
    [[nodiscard]] int lineAt(std::ptrdiff_t offset) const;

    std::string_view text_;
    std::string file_;
    UnknownFields unknown_;
    Json::Value root_;
    std::map<std::string, std::string> overrideSources_; ///< From the path of an overridden field to the option or variable that set it.
    std::vector<DocumentError> errors_;
    std::vector<DocumentError> warnings_;
};

// 3. ObjectReader ---------------------------------------------------------------------------------

/// Reads the fields of one JSON object. An optional field that is missing leaves its target unchanged, and so does a value of the
/// wrong type.
class ObjectReader
{
public:
    using ReadObject = std::function<void(ObjectReader &item)>;

    ObjectReader(JsonSource &source, const Json::Value &object, std::string path);

    void text(const char *field, std::string &target, Presence presence = Presence::Required);
    void name(const char *field, std::string &target, Presence presence = Presence::Required);
    void address(const char *field, std::string &target, PortRule rule, Presence presence);
    void boolean(const char *field, bool &target, Presence presence = Presence::Optional);
    void number(const char *field, double &target, Range<double> range, Presence presence);
    /// Reads a number of milliseconds and stores it in microseconds.
    void millis(const char *field, Micros &target, Range<double> range, Presence presence);

    template<std::integral Integer>
    void integer(const char *field, Integer &target, Range<Integer> range, Presence presence)
    {
        double value = 0.0;
        // A double cannot represent every integer above 2^53, and no field needs such values.
        constexpr auto exactLimit = static_cast<double>(std::uint64_t{ 1 } << 53U);
        const Range<double> limits{ static_cast<double>(range.min), std::min(static_cast<double>(range.max), exactLimit) };
        if (readNumber(field, value, limits, presence, true)) {
            target = static_cast<Integer>(value);
        }
    }

    template<NamedEnum Enum>
    void choice(const char *field, Enum &target, Presence presence)
    {
        std::string found;
        if (!readText(field, found, presence)) {
            return;
        }
        if (const auto value = fromName<Enum>(found)) {
            target = *value;
            return;
        }
        std::string names;
        for (const auto &row : EnumNames<Enum>::rows) {
            names += names.empty() ? "" : ", ";
            names += row.name;
        }
        addError(field, "expected one of " + names + ", found \"" + found + "\"");
    }

    void names(const char *field, std::vector<std::string> &target, Presence presence = Presence::Optional);
    void object(const char *field, Presence presence, const ReadObject &read);
    void objects(const char *field, Presence presence, const ReadObject &read);
    /// Calls \p read with each string of a list, its JSON value and its path.
    void texts(const char *field, Presence presence,
               const std::function<void(const std::string &text, const Json::Value &value, const std::string &path)> &read);

    /// Adds an error for a field, or for the object itself if \p field is empty.
    void addError(const char *field, std::string message);
    /// Adds \p value to \p seen, or adds an error if it is a duplicate. Ignores an empty value, whose error was already added.
    void checkUnique(const char *field, const std::string &value, std::set<std::string> &seen);
    /// Adds an error if \p known does not contain \p value. Ignores an empty value.
    void checkReference(const char *field, const std::string &value, const std::set<std::string> &known, const char *what);

    /// Reports the fields that no other call has looked up. Called last, because these fields are unknown to the program.
    void reportUnknownFields();

    [[nodiscard]] JsonSource &source()
    {
        return *source_;
    }

private:
    [[nodiscard]] const Json::Value *find(const char *field, Presence presence);
    [[nodiscard]] std::string pathOf(std::string_view field) const;
    bool readText(const char *field, std::string &target, Presence presence);
    bool readNumber(const char *field, double &target, Range<double> range, Presence presence, bool integral);

    JsonSource *source_;
    const Json::Value *object_;
    std::string path_;
    std::set<std::string> known_; ///< Names of the fields that were looked up, present or not.
};

} // namespace Carobhall
