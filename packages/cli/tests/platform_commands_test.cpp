#include <boost/test/unit_test.hpp>

#include "cli_harness.h"

#include "carobhall/configuration.h"
#include "carobhall/soup_transport.h"
#include "carobhall/standins.h"

#include <libsoup/soup.h>

#include <atomic>
#include <thread>

using namespace Carobhall;

namespace
{

/// Response delay of the platform that lets two commands that start together both read before either writes.
constexpr Micros PlatformDelay = 100 * MicrosPerMilli;

/// Platform stand-in that runs on the GMainContext of the test's thread.
class Platform
{
public:
    explicit Platform(Standin::PlatformOptions options = {})
        : server_(Standin::startPlatform(0, options))
    {
        BOOST_REQUIRE(server_);
        address_ = "127.0.0.1:" + std::to_string(server_->port());
    }

    /// Runs a command against this platform.
    [[nodiscard]] CliResult run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), { "--platform", address_, "--timeout-ms", "1500" });
        return Carobhall::run(arguments);
    }

    /// The object of an environment as stored on the platform.
    [[nodiscard]] PlatformObject read(const std::string &name) const
    {
        return call(getCall(EnvironmentKind, name)).object;
    }

    void write(const PlatformObject &object) const
    {
        BOOST_REQUIRE(!call(writeCall(object, object.spec)).error);
    }

    [[nodiscard]] std::string text(const std::string &name) const
    {
        return decodeEnvironment(read(name).spec).value_or("");
    }

    /// Posts \p body to the stand-in's /control on the test's thread and returns the response.
    Json::Value control(const std::string &body) const
    {
        SoupSession *const session = soup_session_new();
        SoupMessage *const message = soup_message_new("POST", ("http://" + address_ + "/control").c_str());
        GBytes *const bytes = g_bytes_new(body.data(), body.size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
        std::optional<std::string> answer;
        soup_session_send_and_read_async(
            session, message, G_PRIORITY_DEFAULT, nullptr,
            [](GObject *source, GAsyncResult *result, gpointer data) {
                GBytes *const read = soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
                BOOST_REQUIRE(read != nullptr);
                gsize size = 0;
                const auto *const text = static_cast<const char *>(g_bytes_get_data(read, &size));
                *static_cast<std::optional<std::string> *>(data) = std::string(text, size);
                g_bytes_unref(read);
            },
            &answer);
        while (!answer) {
            g_main_context_iteration(nullptr, TRUE);
        }
        g_object_unref(message);
        g_object_unref(session);
        Json::Value value;
        BOOST_REQUIRE(Json::Reader().parse(*answer, value));
        return value;
    }

private:
    [[nodiscard]] PlatformReply call(PlatformCall request) const
    {
        SoupTransport transport({ .address = address_ });
        std::optional<PlatformReply> reply;
        transport.call(std::move(request), [&reply](PlatformReply received, Micros) { reply = std::move(received); });
        while (!reply) {
            g_main_context_iteration(nullptr, TRUE);
        }
        return *reply;
    }

    std::unique_ptr<Standin::Server> server_;
    std::string address_;
};

/// Runs a command on a thread of its own, like the process of another operator, while the test's thread serves the platform.
class BackgroundCommand
{
public:
    BackgroundCommand(const Platform &platform, std::vector<std::string> arguments)
        : thread_([this, &platform, arguments = std::move(arguments)] {
            GMainContext *const context = g_main_context_new();
            g_main_context_push_thread_default(context);
            result_ = platform.run(arguments);
            g_main_context_pop_thread_default(context);
            g_main_context_unref(context);
            done_ = true;
            g_main_context_wakeup(nullptr);
        })
    {
    }
    ~BackgroundCommand()
    {
        finish();
    }
    BackgroundCommand(const BackgroundCommand &) = delete;
    BackgroundCommand &operator=(const BackgroundCommand &) = delete;

    const CliResult &finish()
    {
        while (!done_) {
            g_main_context_iteration(nullptr, TRUE);
        }
        if (thread_.joinable()) {
            thread_.join();
        }
        return result_;
    }

private:
    std::atomic<bool> done_ = false;
    CliResult result_;
    std::thread thread_;
};

} // namespace

// Guards against a promotion that does not copy the document byte for byte, and against writes of an unchanged document.
BOOST_AUTO_TEST_CASE(promoteCopiesTheDocumentByteForByte)
{
    const Platform platform;
    const std::string text = sampleDocument("tabs\tand quotes \" and č");
    const TemporaryFile file(text);
    const CliResult applied = platform.run({ "apply", file.path(), "--environment", "guild-trial" });
    BOOST_TEST((applied.exit == CliExit::Success), applied.errors);
    BOOST_TEST(contains(applied.out, "accepted: guild-trial version 1, digest " + documentDigest(text)));
    BOOST_TEST((platform.read("guild").version == 0));

    const CliResult promoted = platform.run({ "promote", "guild-trial", "guild", "--digest", documentDigest(text) });
    BOOST_TEST((promoted.exit == CliExit::Success), promoted.errors);
    BOOST_TEST(platform.text("guild") == text);

    const std::uint64_t version = platform.read("guild").version;
    const CliResult again = platform.run({ "apply", file.path() });
    BOOST_TEST((again.exit == CliExit::Success));
    BOOST_TEST(contains(again.out, "already in place"));
    BOOST_TEST(platform.read("guild").version == version);
    BOOST_TEST((platform.run({ "diff", file.path(), "platform:guild" }).exit == CliExit::Success));
    BOOST_TEST((platform.run({ "promote", "no-such-trial", "guild" }).exit == CliExit::Invalid));
    BOOST_TEST((platform.run({ "promote", "guild-trial", "guild", "--digest", "00" }).exit == CliExit::Conflict));
}

// Guards against a failure report for a write that was accepted but whose response was lost; the operator would write a second time.
BOOST_AUTO_TEST_CASE(lostResponseIsReadBack)
{
    const Platform platform({ .loseAnswers = 1 });
    const TemporaryFile first(sampleDocument("first"));
    const CliResult created = platform.run({ "apply", first.path() });
    BOOST_TEST((created.exit == CliExit::Success), created.errors);
    BOOST_TEST(contains(created.out, "accepted: guild version 1"));

    platform.control(R"({"lose_answers": 2})");
    const TemporaryFile second(sampleDocument("second"));
    const CliResult updated = platform.run({ "apply", second.path() });
    BOOST_TEST((updated.exit == CliExit::Success), updated.errors);
    BOOST_TEST(contains(updated.out, "accepted: guild version 2"));
    BOOST_TEST(platform.read("guild").version == 2U);
}

// Guards against a report of success or failure when neither is known: the write arrives, its response is lost, and the platform
// becomes unavailable before the object can be read back.
BOOST_AUTO_TEST_CASE(outcomeThatCannotBeReadBackIsUnknown)
{
    const Platform platform({ .delay = PlatformDelay, .loseAnswers = 1 });
    const TemporaryFile file(sampleDocument());
    BackgroundCommand command(platform, { "apply", file.path() });
    while (platform.control("{}")["version"].asUInt64() == 0) {
        g_usleep(1000);
    }
    platform.control(R"({"outage": "refuse"})");
    const CliResult &result = command.finish();
    BOOST_TEST((result.exit == CliExit::Unknown), result.errors);
    BOOST_TEST(contains(result.errors, "not known"));
    platform.control(R"({"outage": "none"})");
    BOOST_TEST(platform.text("guild") == sampleDocument());
}

// Guards against lost updates: of two operators who write at the same time, one must succeed and the other must get a conflict.
BOOST_AUTO_TEST_CASE(concurrentWritesConflict)
{
    for (const bool exists : { false, true }) {
        const Platform platform({ .delay = PlatformDelay });
        const TemporaryFile before(sampleDocument("before"));
        if (exists) {
            BOOST_TEST((platform.run({ "apply", before.path() }).exit == CliExit::Success));
        }
        const TemporaryFile one(sampleDocument("one"));
        const TemporaryFile two(sampleDocument("two"));
        BackgroundCommand first(platform, { "apply", one.path() });
        BackgroundCommand second(platform, { "apply", two.path() });
        const CliResult firstResult = first.finish();
        const CliResult secondResult = second.finish();
        const bool firstSucceeded = firstResult.exit == CliExit::Success;
        const CliResult &rejected = firstSucceeded ? secondResult : firstResult;
        BOOST_TEST(((firstSucceeded ? firstResult : secondResult).exit == CliExit::Success));
        BOOST_TEST((rejected.exit == CliExit::Conflict), rejected.errors);
        BOOST_TEST(contains(rejected.errors, "another write came first; nothing was changed"));
        BOOST_TEST(platform.text("guild") == sampleDocument(firstSucceeded ? "one" : "two"));
    }
}

// Guards against a change that was prepared for an older version than the current one and would overwrite it.
BOOST_AUTO_TEST_CASE(expectedVersionIsChecked)
{
    const Platform platform;
    const TemporaryFile one(sampleDocument("one"));
    const TemporaryFile two(sampleDocument("two"));
    BOOST_TEST((platform.run({ "apply", one.path(), "--expect-version", "0" }).exit == CliExit::Success));
    BOOST_TEST((platform.run({ "apply", two.path(), "--expect-version", "0" }).exit == CliExit::Conflict));
    BOOST_TEST(platform.text("guild") == sampleDocument("one"));
    BOOST_TEST((platform.run({ "apply", two.path(), "--expect-version", "1" }).exit == CliExit::Success));
    BOOST_TEST(platform.text("guild") == sampleDocument("two"));
}

// Guards against a command that hangs during an outage of the platform, or reports a change that was not made.
BOOST_AUTO_TEST_CASE(outage)
{
    const TemporaryFile file(sampleDocument());
    for (const Standin::Outage kind : { Standin::Outage::Refuse, Standin::Outage::Hang }) {
        const Platform platform({ .outage = kind });
        const Micros start = monotonicNow();
        BOOST_TEST((platform.run({ "apply", file.path() }).exit == CliExit::Unavailable));
        BOOST_TEST((platform.run({ "promote", "guild-trial", "guild" }).exit == CliExit::Unavailable));
        BOOST_TEST((monotonicNow() - start < 10 * MicrosPerSecond));
        platform.control(R"({"outage": "none"})");
        BOOST_TEST(platform.read("guild").version == 0U);
    }
}

// Guards against check and apply accepting a document that is larger than the platform can store, so that no process would get it.
BOOST_AUTO_TEST_CASE(documentOverTheLimit)
{
    const Platform platform;
    // Line ends take two bytes in JSON, so with short lines the text is below the limit and its JSON form above it.
    std::string lines;
    while (lines.size() < PlatformValueLimit - 4096) {
        lines += "\n//";
    }
    const TemporaryFile large(sampleDocument(lines));
    const CliResult refused = platform.run({ "apply", large.path() });
    BOOST_TEST((refused.exit == CliExit::Invalid));
    BOOST_TEST(contains(refused.errors, "at most 1048576"));
    BOOST_TEST((run({ "check", large.path() }).exit == CliExit::Invalid));
    BOOST_TEST(platform.control("{}")["writes"].asUInt64() == 0U);

    const TemporaryFile nearLimit(sampleDocument(std::string(PlatformValueLimit - 8192, 'x')));
    const CliResult accepted = platform.run({ "apply", nearLimit.path() });
    BOOST_TEST((accepted.exit == CliExit::Success), accepted.errors);
}

// Guards against the refusal of a platform with a lower size limit being reported as an outage.
BOOST_AUTO_TEST_CASE(platformRefusesSize)
{
    const Platform platform({ .maxValueBytes = 256 });
    const TemporaryFile file(sampleDocument());
    BOOST_TEST((platform.run({ "apply", file.path() }).exit == CliExit::Invalid));
}

// Guards against the promotion of a damaged object, and against apply refusing to replace one, so that it could not be repaired.
BOOST_AUTO_TEST_CASE(damagedObject)
{
    const Platform platform;
    const TemporaryFile file(sampleDocument());
    BOOST_TEST((platform.run({ "apply", file.path() }).exit == CliExit::Success));
    PlatformObject object = platform.read("guild");
    object.spec["text"] = "{}";
    platform.write(object);
    BOOST_TEST((platform.run({ "promote", "guild", "guild-trial" }).exit == CliExit::Invalid));
    BOOST_TEST((platform.read("guild-trial").version == 0));
    BOOST_TEST((platform.run({ "apply", file.path() }).exit == CliExit::Success));
    BOOST_TEST(platform.text("guild") == sampleDocument());
}
