#include "carobhall/runtime.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace Carobhall
{

namespace
{

namespace Po = boost::program_options;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ExitCode report(const std::vector<DocumentError> &errors)
{
    for (const DocumentError &error : errors) {
        std::cerr << toString(error) << '\n';
    }
    return ExitCode::InvalidSettings;
}

ExitCode report(const std::string &message)
{
    std::cerr << "error: " << message << '\n';
    return ExitCode::InvalidSettings;
}

/// Parses overrides of the form PATH=VALUE and appends them to \p overrides. Returns the first malformed text, if any.
std::optional<std::string> addOverrides(const std::vector<std::string> &texts, std::vector<SettingOverride> &overrides)
{
    for (const std::string &text : texts) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos) {
            return text;
        }
        overrides.push_back({ .path = text.substr(0, equals), .value = text.substr(equals + 1), .source = "--set" });
    }
    return std::nullopt;
}

template<typename Settings, typename Load>
std::variant<StartUp<Settings>, ExitCode> startUp(int argc, char **argv, Load load)
{
    std::string file;
    std::vector<std::string> overrideTexts;
    Po::options_description description("Options");
    auto add = description.add_options();
    add("help", "show this help");
    add("settings", Po::value(&file)->required(), "settings file");
    add("set", Po::value(&overrideTexts)->composing(), "override a setting, PATH=VALUE; may be repeated");
    try {
        Po::variables_map values;
        Po::store(Po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description << "Exit codes: 0 stopped gracefully, 1 failure, 2 invalid settings, 3 address in use\n";
            return ExitCode::Success;
        }
        Po::notify(values);
    } catch (const Po::error &error) {
        return report(error.what());
    }
    const auto text = readFile(file);
    if (!text) {
        return report("cannot read " + file);
    }
    std::vector<SettingOverride> overrides = overridesFromEnvironment();
    if (const auto malformed = addOverrides(overrideTexts, overrides)) {
        return report("--set expects PATH=VALUE, got \"" + *malformed + "\"");
    }
    auto loaded = load(*text, file, overrides);
    if (!loaded.ok()) {
        return report(loaded.errors);
    }
    const ProcessSettings &process = loaded.settings.process;
    if (!fleetKeysFrom(process.fleetKeys)) {
        return report(file + ": fleetKeys: expected at least one key of 64 hexadecimal digits");
    }
    VersionedDocument document;
    if (!process.documentFile.empty()) {
        const auto documentText = readFile(process.documentFile);
        if (!documentText) {
            return report("cannot read the document \"" + process.documentFile + "\"");
        }
        auto parsed = parseDocument(*documentText, process.documentFile);
        if (!parsed.ok()) {
            return report(parsed.errors);
        }
        document = { .version = 0, .digest = digestOf(*documentText), .text = *documentText, .document = std::move(parsed.document) };
    }
    initLogging(process.name, process.logLevel);
    return StartUp<Settings>{ .settings = std::move(loaded.settings), .document = std::move(document) };
}

} // namespace

std::variant<StartUp<EntrySettings>, ExitCode> startUpEntry(int argc, char **argv)
{
    return startUp<EntrySettings>(argc, argv, &loadEntrySettings);
}

std::variant<StartUp<AgentSettings>, ExitCode> startUpAgent(int argc, char **argv)
{
    return startUp<AgentSettings>(argc, argv, &loadAgentSettings);
}

ExitCode exitCodeOf(std::error_code startError)
{
    if (startError == std::errc::address_in_use) {
        return ExitCode::AddressInUse;
    }
    return startError == Errc::InvalidSettings ? ExitCode::InvalidSettings : ExitCode::Failure;
}

} // namespace Carobhall
