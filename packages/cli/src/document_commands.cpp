#include "commands.h"
#include "document_diff.h"
#include "platform_options.h"
#include "platform_session.h"

#include "carobhall/document.h"

#include <json/reader.h>

#include <iostream>

namespace Carobhall::Cli
{

namespace
{

constexpr std::string_view PlatformPrefix = "platform:";

/// Returns the text of a file or of "platform:ENVIRONMENT". On failure writes the error and returns the exit code.
std::variant<std::string, CliExit> readSource(const std::string &source, const PlatformOptions &options, std::ostream &errors)
{
    if (!source.starts_with(PlatformPrefix)) {
        std::optional<std::string> text = readFile(source);
        if (!text) {
            errors << "error: cannot read " << source << "\n";
            return CliExit::Invalid;
        }
        return std::move(*text);
    }
    if (!options.isValid(errors)) {
        return CliExit::Invalid;
    }
    const std::string name = source.substr(PlatformPrefix.size());
    EnvironmentObject found = PlatformSession(options.session()).read(name);
    if (found.error || found.object.version == 0) {
        return reportReadFailure(name, found, errors);
    }
    return std::move(found.text);
}

/// Parses \p text without validating it as a document. Writes an error and returns std::nullopt if it is not JSON.
std::optional<Json::Value> parseValues(const std::string &text, const std::string &source, std::ostream &errors)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string message;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &message)) {
        errors << "error: " << source << " is not JSON: " << message;
        return std::nullopt;
    }
    return value;
}

void print(const ValueChange &change, std::ostream &out)
{
    if (change.before.empty()) {
        out << "+ " << change.path << ": " << change.after << "\n";
    } else if (change.after.empty()) {
        out << "- " << change.path << ": " << change.before << "\n";
    } else {
        out << "~ " << change.path << ": " << change.before << " -> " << change.after << "\n";
    }
}

} // namespace

CliExit runCheck(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    if (const auto exitCode = commandLine.parse(arguments, { .min = 1, .max = 1 })) {
        return *exitCode;
    }
    const std::string &file = commandLine.positional().front();
    const std::optional<LoadedDocument> document = loadDocument(file, streams.errors);
    if (!document) {
        return CliExit::Invalid;
    }
    streams.out << file << ": valid, environment " << document->name << ", digest " << digestOf(document->text) << "\n";
    return CliExit::Success;
}

CliExit runDigest(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    if (const auto exitCode = commandLine.parse(arguments, { .min = 0, .max = 1 })) {
        return *exitCode;
    }
    const std::string file = commandLine.positional().empty() ? "-" : commandLine.positional().front();
    std::optional<std::string> key = readFile(file);
    // Editors and echo add a line end, which is not part of the key.
    while (key && (key->ends_with('\n') || key->ends_with('\r'))) {
        key->pop_back();
    }
    if (!key || key->empty()) {
        streams.errors << "error: expected a bearer key in " << file << "\n";
        return CliExit::Invalid;
    }
    streams.out << digestOf(*key) << "\n";
    return CliExit::Success;
}

CliExit runDiff(const Command &command, const std::vector<std::string> &arguments, CliStreams streams)
{
    CommandLine commandLine(command, streams);
    PlatformOptions options;
    options.addTo(commandLine);
    if (const auto exitCode = commandLine.parse(arguments, { .min = 2, .max = 2 })) {
        return *exitCode;
    }
    std::array<std::string, 2> texts;
    std::array<Json::Value, 2> values;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const std::string &source = commandLine.positional()[i];
        auto read = readSource(source, options, streams.errors);
        if (const auto *const exitCode = std::get_if<CliExit>(&read)) {
            return *exitCode;
        }
        texts[i] = std::move(std::get<std::string>(read));
        std::optional<Json::Value> parsed = parseValues(texts[i], source, streams.errors);
        if (!parsed) {
            return CliExit::Invalid;
        }
        values[i] = std::move(*parsed);
    }
    const std::vector<ValueChange> changes = diffValues(values[0], values[1]);
    for (const ValueChange &change : changes) {
        print(change, streams.out);
    }
    if (changes.empty() && texts[0] != texts[1]) {
        streams.out << "the values are the same; comments or layout differ\n";
    }
    return changes.empty() ? CliExit::Success : CliExit::Failure;
}

} // namespace Carobhall::Cli
