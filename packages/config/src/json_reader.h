#pragma once

// Reads JSON with comments field by field and collects errors with file, line and path.
//
//     JsonSource source(text, file);
//     if (source.parse()) {
//         ObjectReader root = source.root();
//         root.text("name", document.name);
//         root.finish();
//     }
//
// Index
//   1. Values           presence and ranges
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

/// The longest duration that a field may hold: a day.
inline constexpr double MaxMillis = 24.0 * 60 * 60 * 1000;
inline constexpr Range<double> AnyMillis{ 0.0, MaxMillis };
inline constexpr Range<double> PositiveMillis{ 0.001, MaxMillis };

inline constexpr std::size_t MaxNameLength = 128;

/// Whether \p name is short, not empty and made of letters, digits and "-_.:/".
[[nodiscard]] bool isName(std::string_view name);

enum class PortRule : std::uint8_t { Fixed, MayBeZero };

/// Whether \p address is "ip:port" with an IPv4 address or an IPv6 address in brackets.
[[nodiscard]] bool isAddress(std::string_view address, PortRule rule);

/// Whether \p text is made of exactly \p length lower-case hexadecimal digits.
[[nodiscard]] bool isHex(std::string_view text, std::size_t length);

// 2. JsonSource -----------------------------------------------------------------------------------

class ObjectReader;

/// A text in JSON with comments. Not thread-safe; used within one call.
class JsonSource
{
public:
    JsonSource(std::string_view text, std::string_view file, UnknownFields unknown = UnknownFields::Refused);

    /// Parses the text. Returns false, with an error, when it is not JSON or its root is not an object.
    bool parse();
    /// Puts \p change into the parsed value. Precondition: parse() returned true.
    void apply(const SettingOverride &change);
    /// Precondition: parse() returned true.
    [[nodiscard]] ObjectReader root();

    /// Adds an error about \p path, at the line of \p value.
    void fail(const Json::Value &value, const std::string &path, std::string expected);
    /// Adds an error or a warning about the unknown field at \p path.
    void reportUnknown(const Json::Value &value, const std::string &path, std::string expected);
    /// \p value, or the value that the text of an override stands for when a field is not a string.
    [[nodiscard]] Json::Value converted(const Json::Value &value, const std::string &path) const;

    [[nodiscard]] std::vector<DocumentError> &errors()
    {
        return errors_;
    }
    [[nodiscard]] std::vector<DocumentError> &warnings()
    {
        return warnings_;
    }

private:
    void add(std::vector<DocumentError> &list, const Json::Value &value, const std::string &path, std::string expected);
    [[nodiscard]] int lineAt(std::ptrdiff_t offset) const;

    std::string_view text_;
    std::string file_;
    UnknownFields unknown_;
    Json::Value root_;
    std::map<std::string, std::string> overrideSources_; ///< Path to the option or variable that set it.
    std::vector<DocumentError> errors_;
    std::vector<DocumentError> warnings_;
};

// 3. ObjectReader ---------------------------------------------------------------------------------

/// Reads the fields of one JSON object. A field that is missing and optional leaves its target unchanged.
class ObjectReader
{
public:
    using Each = std::function<void(ObjectReader &item)>;

    ObjectReader(JsonSource &source, const Json::Value &object, std::string path);

    void text(const char *field, std::string &target, Presence presence = Presence::Required);
    void name(const char *field, std::string &target, Presence presence = Presence::Required);
    void address(const char *field, std::string &target, PortRule rule, Presence presence);
    void boolean(const char *field, bool &target, Presence presence = Presence::Optional);
    void number(const char *field, double &target, Range<double> range, Presence presence);
    /// Reads milliseconds into microseconds.
    void millis(const char *field, Micros &target, Range<double> range, Presence presence);

    template<std::integral Integer>
    void integer(const char *field, Integer &target, Range<Integer> range, Presence presence)
    {
        double value = 0.0;
        // Larger integers are not exact as double, and no field needs them.
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
        fail(field, "expected one of " + names + ", found \"" + found + "\"");
    }

    void names(const char *field, std::vector<std::string> &target, Presence presence = Presence::Optional);
    void object(const char *field, Presence presence, const Each &read);
    void objects(const char *field, Presence presence, const Each &read);
    /// Calls \p read with each string of a list and the path of it.
    void texts(const char *field, Presence presence,
               const std::function<void(const std::string &text, const Json::Value &value, const std::string &path)> &read);

    /// Adds an error about a field, or about the object itself when \p field is empty.
    void fail(const char *field, std::string expected);
    /// Refuses a value that \p seen already holds.
    void unique(const char *field, const std::string &value, std::set<std::string> &seen);
    /// Refuses a value that \p known does not hold.
    void reference(const char *field, const std::string &value, const std::set<std::string> &known, const char *what);

    /// Reports the fields that nothing read.
    void finish();

    [[nodiscard]] JsonSource &source()
    {
        return *source_;
    }

private:
    [[nodiscard]] const Json::Value *find(const char *field, Presence presence);
    [[nodiscard]] std::string pathOf(std::string_view field) const;
    bool readText(const char *field, std::string &target, Presence presence);
    bool readNumber(const char *field, double &target, Range<double> range, Presence presence, bool whole);

    JsonSource *source_;
    const Json::Value *object_;
    std::string path_;
    std::set<std::string> known_;
};

} // namespace Carobhall
