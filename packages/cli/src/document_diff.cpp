#include "document_diff.h"

#include <json/writer.h>

#include <algorithm>
#include <map>
#include <set>

namespace Carobhall::Cli
{

namespace
{

std::string toJsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

/// Whether all elements of \p list are objects with a unique name.
bool isNamedList(const Json::Value &list)
{
    std::set<std::string> names;
    return std::all_of(list.begin(), list.end(), [&names](const Json::Value &item) {
        return item.isObject() && item["name"].isString() && names.insert(item["name"].asString()).second;
    });
}

/// Members of an object by name, or elements of a list by name or index.
using Elements = std::map<std::string, Json::Value>;

Elements elementsOf(const Json::Value &list, bool byName)
{
    Elements elements;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        elements[byName ? list[i]["name"].asString() : std::to_string(i)] = list[i];
    }
    return elements;
}

void compare(const std::string &path, const Json::Value *before, const Json::Value *after, std::vector<ValueChange> &changes);

void compareElements(const Elements &before, const Elements &after, const std::string &prefix, const std::string &suffix, std::vector<ValueChange> &changes)
{
    std::set<std::string> keys;
    for (const Elements *elements : { &before, &after }) {
        for (const auto &[key, value] : *elements) {
            keys.insert(key);
        }
    }
    const auto find = [](const Elements &elements, const std::string &key) {
        const auto found = elements.find(key);
        return found == elements.end() ? nullptr : &found->second;
    };
    for (const std::string &key : keys) {
        std::string path = prefix;
        path += key;
        path += suffix;
        compare(path, find(before, key), find(after, key), changes);
    }
}

Elements membersOf(const Json::Value &object)
{
    Elements members;
    for (const std::string &name : object.getMemberNames()) {
        members[name] = object[name];
    }
    return members;
}

void compare(const std::string &path, const Json::Value *before, const Json::Value *after, std::vector<ValueChange> &changes)
{
    if (before == nullptr || after == nullptr) {
        changes.push_back({ .path = path, .before = before == nullptr ? "" : toJsonText(*before), .after = after == nullptr ? "" : toJsonText(*after) });
        return;
    }
    if (before->isObject() && after->isObject()) {
        compareElements(membersOf(*before), membersOf(*after), path.empty() ? "" : path + ".", "", changes);
        return;
    }
    if (before->isArray() && after->isArray()) {
        const bool byName = isNamedList(*before) && isNamedList(*after);
        compareElements(elementsOf(*before, byName), elementsOf(*after, byName), path + "[", "]", changes);
        return;
    }
    // Numbers are compared by value: 1 and 1.0 are equal for every reader of the document.
    const bool isEqual = before->isNumeric() && after->isNumeric() ? before->asDouble() == after->asDouble() : *before == *after;
    if (!isEqual) {
        changes.push_back({ .path = path, .before = toJsonText(*before), .after = toJsonText(*after) });
    }
}

} // namespace

std::vector<ValueChange> diffValues(const Json::Value &before, const Json::Value &after)
{
    std::vector<ValueChange> changes;
    compare("", &before, &after, changes);
    return changes;
}

} // namespace Carobhall::Cli
