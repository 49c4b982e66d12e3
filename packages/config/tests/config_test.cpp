#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "carobhall/settings.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace Carobhall;

namespace
{

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(CAROBHALL_EXAMPLES) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Text of guild.json in which the first occurrence of \p from is replaced by \p to.
std::string guildWith(const std::string &from, const std::string &to)
{
    std::string text = readExample("guild.json");
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string firstError(const std::string &text)
{
    const ParsedDocument parsed = parseDocument(text, "guild.json");
    return parsed.ok() ? "" : toString(parsed.errors.front());
}

/// Checks that guild.json with \p from replaced by \p to is refused, and that its first error contains \p error.
void checkRefused(const std::string &from, const std::string &to, const std::string &error)
{
    const std::string found = firstError(guildWith(from, to));
    BOOST_TEST(found.starts_with("guild.json:"), "no error for " << to);
    BOOST_TEST(found.find(error) != std::string::npos, "expected \"" << error << "\" in \"" << found << "\"");
}

const std::string Key(64, 'a');
const std::string AgentSettingsText = R"({
    "process": { "name": "a1", "zone": "zagreb-a", "environment": "guild", "fleetKeys": [{ "id": 1, "key": ")"
    + Key + R"(" }] },
    "upstream": "engine-zagreb-1",
    "upstreamAddress": "127.0.0.1:7200"
})";

} // namespace

// Guards against example documents that are invalid or not read completely: the sizes are those of the two example environments.
BOOST_AUTO_TEST_CASE(examplesParseWithExpectedSizes)
{
    const ParsedDocument guild = parseDocument(readExample("guild.json"), "guild.json");
    BOOST_REQUIRE_MESSAGE(guild.ok(), toString(guild.errors.empty() ? DocumentError{} : guild.errors.front()));
    BOOST_TEST(guild.document.regions.size() == 2U);
    BOOST_TEST(guild.document.zones.size() == 3U);
    BOOST_TEST(guild.document.modelServers.size() == 12U);
    BOOST_TEST(guild.document.services.front().servers.size() == 3U);
    BOOST_TEST(guild.document.accounts.size() == 8U);
    BOOST_TEST(guild.document.kvStores.size() == 1U);
    BOOST_TEST(guild.document.links.front().latency == 12 * MicrosPerMilli);
    BOOST_TEST(guild.document.links.front().bitsPerSecond == 30'000'000);
    BOOST_TEST(guild.document.accounts.front().keyDigests.front() == digestOf("demo-key-" + guild.document.accounts.front().name));

    const ParsedDocument himal = parseDocument(readExample("himal-chyau.json"), "himal-chyau.json");
    BOOST_REQUIRE_MESSAGE(himal.ok(), toString(himal.errors.empty() ? DocumentError{} : himal.errors.front()));
    BOOST_TEST(himal.document.modelServers.size() == 9U);
    BOOST_TEST(himal.document.accounts.size() == 8U);
}

// Guards against errors with a wrong file, line or path, with which an operator cannot find the faulty field.
BOOST_AUTO_TEST_CASE(errorsNameFileLineAndPath)
{
    BOOST_TEST(firstError("{\n  \"name\": \"x\",\n  \"nmae\": 1,\n \"regions\": [{\"name\": \"r\"}],\n \"zones\": [\n{\"name\": \"z\",\n \"region\": \"q\"}],\n"
                          "\"ranks\": {}}")
               == "guild.json:7: zones[0].region: expected the name of a region, found \"q\"");
    BOOST_TEST(firstError("{\n  \"name\": \"x\",\n  oops\n}").starts_with("guild.json:3: (root): invalid JSON:"));
    BOOST_TEST(firstError("").starts_with("guild.json:1: (root):"));
    BOOST_TEST(firstError("[]") == "guild.json:1: (root): expected an object, found a list");
}

// Guards against a misspelt field name that is ignored, so that the default stays in effect, and against values of the wrong type.
BOOST_AUTO_TEST_CASE(unknownMissingAndMistypedFieldsAreRefused)
{
    checkRefused("\"checksFencing\"", "\"checkFencing\"", "modelServers[0].checkFencing: unknown field");
    checkRefused("\"deadlineMs\": 5000", "\"deadlineMs\": \"5000\"", "ranks.paying.deadlineMs: expected a number from 0.001 to");
    checkRefused(", \"deadlineMs\": 5000", "", "ranks.paying.deadlineMs: required field is missing");
    checkRefused("\"slots\": 8", "\"slots\": 1.5", "modelServers[0].slots: expected a whole number");
    checkRefused("\"rank\": \"paying\"", "\"rank\": \"gold\"", "accounts[0].rank: expected one of paying, free, found \"gold\"");
    checkRefused("\"repeatable\": false", "\"repeatable\": 0", "services[0].routes[0].repeatable: expected true or false");
    checkRefused("\"floor\": 0.7,", "\"floor\": 0.7, \"floor\": 0.7,", "Duplicate key");
}

// Guards against requests that are routed to the wrong upstream or charged to the wrong account because two entries have the same
// name or key, and against references to names that the document does not define.
BOOST_AUTO_TEST_CASE(duplicateNamesAndUndefinedReferencesAreRefused)
{
    checkRefused("\"engine-zagreb-2\"", "\"engine-zagreb-1\"", "modelServers[1].name: expected a unique value");
    checkRefused("\"stamps-zagreb\"", "\"engine-zagreb-1\"", "services[0].servers[0].name: expected a unique value");
    checkRefused("\"name\": \"stamps\"", "\"name\": \"needle-7b\"", "services[0].name: expected a name that no model uses");
    checkRefused("\"zone\": \"osijek-a\"", "\"zone\": \"pula-a\"", "expected the name of an availability zone, found \"pula-a\"");
    checkRefused(digestOf("demo-key-public-desk"), digestOf("demo-key-zagreb-chamber"), "accounts[7].keyDigests[0]: expected a unique key");
    checkRefused("\"to\": \"hr-primorje\"", "\"to\": \"hr-kontinent\"", "links[0].to: expected a region other than");
    checkRefused("{ \"name\": \"hr-primorje\" }", "{ \"name\": \"hr-primorje\" }, { \"name\": \"istra\" }",
                 "links: expected a link between \"hr-kontinent\" and \"istra\"");
}

// Guards against guarantees that no scheduler can meet, such as floors that add up to more than 1 or a target after the deadline.
BOOST_AUTO_TEST_CASE(unsatisfiableValuesAreRefused)
{
    checkRefused("\"floor\": 0.1", "\"floor\": 0.4", "ranks: expected floors that add up to at most 1");
    checkRefused("\"floor\": 0.7", "\"floor\": -0.1", "ranks.paying.floor: expected a number from 0 to 1");
    checkRefused("\"share\": 4", "\"share\": 0", "accounts[0].share: expected a number from 0.001");
    checkRefused("\"slots\": 8", "\"slots\": 0", "modelServers[0].slots");
    checkRefused("\"firstTokenTargetMs\": 400", "\"firstTokenTargetMs\": 6000", "ranks.paying.firstTokenTargetMs: expected at most deadlineMs");
    checkRefused("\"deadlineMs\": 5000", "\"deadlineMs\": 1e400", "guild.json:");
    // Floors of 0.7 and 0.3 are accepted, although their binary sum is not exactly 1.
    BOOST_TEST(firstError(guildWith("\"floor\": 0.1", "\"floor\": 0.3")) == "");
}

// Guards against crashes, hangs and accepted invalid values when parts of a file were deleted, overwritten or copied elsewhere.
BOOST_AUTO_TEST_CASE(damagedDocumentsGiveErrorsOrValidTables)
{
    const std::string original = readExample("himal-chyau.json");
    BOOST_TEST(rc::check("damaged documents", [&] {
        std::string text = original;
        const int edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 40);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                text.erase(at, length);
                break;
            case 1:
                text.insert(at, original.substr(*rc::gen::inRange<std::size_t>(0, original.size()), length));
                break;
            case 2:
                text.insert(at, *rc::gen::element<std::string>("[", "{", "}", "]", "\"", "-1", "1e999", "null", "/*", "//", "\\u0000", "0"));
                break;
            default:
                text.replace(at, 1, 1, *rc::gen::arbitrary<char>());
                break;
            }
            RC_PRE(!text.empty());
        }
        const ParsedDocument parsed = parseDocument(text, "f");
        for (const DocumentError &error : parsed.errors) {
            RC_ASSERT(error.line >= 1);
            RC_ASSERT(!error.path.empty());
            RC_ASSERT(!error.message.empty());
        }
        if (parsed.ok()) {
            RC_ASSERT(parsed.document.ranks[0].floor + parsed.document.ranks[1].floor <= 1.0 + 1e-9);
            for (const AccountSpec &account : parsed.document.accounts) {
                RC_ASSERT(account.share > 0.0);
            }
            for (const ModelServerSpec &server : parsed.document.modelServers) {
                RC_ASSERT(server.slots >= 1U);
            }
        }
    }));
}

// Guards against a stack overflow in the parser, caused by a file that consists of opening brackets only.
BOOST_AUTO_TEST_CASE(deepNestingIsRefused)
{
    BOOST_TEST(!parseDocument(std::string(1'000'000, '['), "f").ok());
}

// Guards against wrong default values and wrong time units when a settings file omits optional fields.
BOOST_AUTO_TEST_CASE(settingsHaveDefaultsAndUnits)
{
    const auto loaded = loadAgentSettings(AgentSettingsText, "agent.json", {});
    BOOST_REQUIRE_MESSAGE(loaded.ok(), toString(loaded.errors.empty() ? DocumentError{} : loaded.errors.front()));
    BOOST_TEST(loaded.settings.process.zone == "zagreb-a");
    BOOST_TEST(loaded.settings.process.shutdownDeadline == 30 * MicrosPerSecond);
    BOOST_TEST(loaded.settings.resumeWindow == 5 * MicrosPerSecond);
    BOOST_TEST(loaded.settings.upstreamAddress == "127.0.0.1:7200");
}

// Guards against an override that is ignored or read as a type other than that of its field ("123" is a valid zone name, and a number
// elsewhere), and against errors that do not name the option or variable.
BOOST_AUTO_TEST_CASE(overridesAreTypedAndNamedInErrors)
{
    const auto loaded = loadAgentSettings(AgentSettingsText, "agent.json",
                                          { { "process.zone", "123", "--set" },
                                            { "resumeWindowMs", "250", "--set" },
                                            { "process.seeds", R"(["127.0.0.1:7300"])", "--set" },
                                            { "process.logLevel", "debug", "--set" } });
    BOOST_REQUIRE_MESSAGE(loaded.ok(), toString(loaded.errors.empty() ? DocumentError{} : loaded.errors.front()));
    BOOST_TEST(loaded.settings.process.zone == "123");
    BOOST_TEST(loaded.settings.resumeWindow == 250 * MicrosPerMilli);
    BOOST_TEST(loaded.settings.process.seeds.front() == "127.0.0.1:7300");
    BOOST_TEST((loaded.settings.process.logLevel == LogLevel::Debug));

    const auto invalid = loadAgentSettings(AgentSettingsText, "agent.json", { { "resumeWindowMs", "soon", "CAROBHALL_RESUME_WINDOW_MS" } });
    BOOST_REQUIRE(!invalid.ok());
    BOOST_TEST(toString(invalid.errors.front()).starts_with("CAROBHALL_RESUME_WINDOW_MS: resumeWindowMs: expected a number from 0 to"));
    BOOST_TEST(!loadAgentSettings(AgentSettingsText, "agent.json", { { "process.zoen", "z", "--set" } }).ok());
    BOOST_TEST(!loadAgentSettings(AgentSettingsText, "agent.json", { { "upstream.name.x", "z", "--set" } }).ok());
}

// Guards against environment variables whose name is converted to the wrong setting.
BOOST_AUTO_TEST_CASE(environmentVariablesOverrideSettings)
{
    setenv("CAROBHALL_PROCESS__WIRE_ADDRESS", "127.0.0.1:7300", 1);
    const std::vector<SettingOverride> overrides = overridesFromEnvironment();
    unsetenv("CAROBHALL_PROCESS__WIRE_ADDRESS");
    BOOST_REQUIRE(overrides.size() == 1U);
    BOOST_TEST(overrides.front().path == "process.wireAddress");
    BOOST_TEST(overrides.front().value == "127.0.0.1:7300");
    BOOST_TEST(overrides.front().source == "CAROBHALL_PROCESS__WIRE_ADDRESS");
}

// Guards against a fleet key that leaks into a log because an error message quotes it.
BOOST_AUTO_TEST_CASE(errorsDoNotContainSecrets)
{
    std::string text = AgentSettingsText;
    text.replace(text.find(Key), Key.size(), "not-hex-secret");
    const auto loaded = loadAgentSettings(text, "agent.json", {});
    BOOST_REQUIRE(!loaded.ok());
    for (const DocumentError &error : loaded.errors) {
        BOOST_TEST(toString(error).find("not-hex-secret") == std::string::npos);
    }
}

// Guards against entry settings with a host name as address or a size out of range; "[::1]:0" is valid.
BOOST_AUTO_TEST_CASE(entrySettingsAreValidated)
{
    const std::string text = R"({ "process": { "name": "e1", "zone": "zagreb-a", "environment": "guild",
        "fleetKeys": [{ "id": 1, "key": ")"
        + Key + R"(" }], "wireAddress": "localhost:1" }, "maxBodyBytes": 10, "callerAddress": "[::1]:0" })";
    const auto loaded = loadEntrySettings(text, "entry.json", {});
    BOOST_REQUIRE(loaded.errors.size() == 2U);
    BOOST_TEST(loaded.errors[0].path == "process.wireAddress");
    BOOST_TEST(loaded.errors[1].path == "maxBodyBytes");
}

// Guards against a process that keeps an old document because the new one has fields of a newer program version, and against
// check and apply accepting a misspelt field.
BOOST_AUTO_TEST_CASE(unknownFieldsOfNewerProgramAreWarnings)
{
    const std::string newer = guildWith("\"name\"", "\"quota\": { \"daily\": 5 }, \"name\"");
    BOOST_TEST(!parseDocument(newer, "guild.json").ok());
    const ParsedDocument lenient = parseDocument(newer, "guild.json", UnknownFields::Ignored);
    BOOST_REQUIRE(lenient.ok());
    BOOST_REQUIRE(lenient.warnings.size() == 1U);
    BOOST_TEST(lenient.warnings.front().path == "quota");
    BOOST_TEST(lenient.document.accounts.size() == parseDocument(readExample("guild.json"), "guild.json").document.accounts.size());
    BOOST_TEST(!parseDocument(guildWith("\"paying\"", "\"payed\""), "guild.json", UnknownFields::Ignored).ok());
}
