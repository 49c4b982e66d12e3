// carobhall-agent: the agent program.

#include "carobhall/agent.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace Carobhall;

namespace
{

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

int report(const std::vector<DocumentError> &errors)
{
    for (const DocumentError &error : errors) {
        std::cerr << toString(error) << '\n';
    }
    return static_cast<int>(ExitCode::InvalidSettings);
}

int fail(const std::string &message)
{
    std::cerr << "carobhall-agent: " << message << '\n';
    return static_cast<int>(ExitCode::InvalidSettings);
}

int run(const AgentSettings &settings, VersionedDocument document)
{
    initLogging(settings.process.name, settings.process.logLevel);
    GMainLoop *const loop = g_main_loop_new(nullptr, FALSE);
    ExitCode exitCode = ExitCode::Success;
    {
        Agent agent({ .settings = settings, .document = std::move(document), .onStopped = [loop] { g_main_loop_quit(loop); } });
        const SignalWatch terminate(SIGTERM, [&] { agent.beginShutdown(); });
        const SignalWatch interrupt(SIGINT, [&] { agent.beginShutdown(); });
        const SignalWatch dump(SIGUSR1, [&] { logEvent(LogLevel::Info, "dump", { { "state", writeJson(agent.dump()) } }); });
        if (const std::error_code error = agent.start()) {
            logEvent(LogLevel::Error, "start_failed", { { "error", error } });
            exitCode = error == std::errc::address_in_use ? ExitCode::AddressInUse : ExitCode::InvalidSettings;
        } else {
            g_main_loop_run(loop);
        }
    }
    g_main_loop_unref(loop);
    return static_cast<int>(exitCode);
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("carobhall-agent: runs beside one upstream");
    description.add_options()("help", "show this help")("settings", po::value<std::string>()->required(), "settings file")(
        "set", po::value<std::vector<std::string>>()->composing(), "PATH=VALUE, overrides a setting");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description << "Exit codes: 0 stopped gracefully, 1 failure, 2 invalid settings, 3 address in use\n";
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        return fail(error.what());
    }
    const std::string file = values["settings"].as<std::string>();
    const auto text = readFile(file);
    if (!text) {
        return fail("cannot read " + file);
    }
    std::vector<SettingOverride> overrides = overridesFromEnvironment();
    if (values.count("set") > 0) {
        for (const std::string &setting : values["set"].as<std::vector<std::string>>()) {
            const std::size_t equals = setting.find('=');
            if (equals == std::string::npos) {
                return fail("--set needs PATH=VALUE, not " + setting);
            }
            overrides.push_back({ .path = setting.substr(0, equals), .value = setting.substr(equals + 1), .source = "--set" });
        }
    }
    const auto loaded = loadAgentSettings(*text, file, overrides);
    if (!loaded.ok()) {
        return report(loaded.errors);
    }
    if (!fleetKeysFrom(loaded.settings.process.fleetKeys)) {
        return fail("settings need at least one fleet key of 64 hexadecimal digits");
    }
    const std::string documentFile = loaded.settings.process.documentFile;
    const auto documentText = readFile(documentFile);
    if (!documentText) {
        return fail("cannot read the document " + documentFile);
    }
    auto parsed = parseDocument(*documentText, documentFile);
    if (!parsed.ok()) {
        return report(parsed.errors);
    }
    return run(loaded.settings, { .version = 0, .digest = digestOf(*documentText), .text = *documentText, .document = std::move(parsed.document) });
}
