#define BOOST_TEST_MODULE cli
#include <boost/test/unit_test.hpp>

#include "cli_harness.h"

#include <libsoup/soup.h>

using namespace Carobhall;

namespace
{

/// Admin listener of a process, with a fixed dump and readiness.
class AdminServer
{
public:
    AdminServer(std::string dump, bool ready)
        : dump_(std::move(dump))
        , ready_(ready)
        , server_(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(server_, nullptr, &AdminServer::onRequest, this, nullptr);
        soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
        GSList *const uris = soup_server_get_uris(server_);
        address_ = "127.0.0.1:" + std::to_string(g_uri_get_port(static_cast<GUri *>(uris->data)));
        g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri *>(uri)); });
    }
    ~AdminServer()
    {
        soup_server_disconnect(server_);
        g_object_unref(server_);
    }
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    [[nodiscard]] const std::string &address() const
    {
        return address_;
    }

private:
    static void onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer data)
    {
        const auto &self = *static_cast<AdminServer *>(data);
        const bool isDump = std::string_view(path) == "/dump";
        soup_server_message_set_status(message, isDump || self.ready_ ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
        soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY, self.dump_.data(), self.dump_.size());
    }

    std::string dump_;
    bool ready_;
    SoupServer *server_;
    std::string address_;
};

} // namespace

// Guards against commands without help, and against an invalid command line that exits with 0, which scripts would take for success.
BOOST_AUTO_TEST_CASE(helpAndInvalidCommandLines)
{
    BOOST_TEST((run({ "--help" }).exit == CliExit::Success));
    BOOST_TEST(run({ "--version" }).out.starts_with("carobhall "));
    BOOST_TEST((run({}).exit == CliExit::Invalid));
    BOOST_TEST((run({ "aply" }).exit == CliExit::Invalid));
    for (const char *command : { "check", "diff", "apply", "promote", "status", "dump", "digest" }) {
        const CliResult help = run({ command, "--help" });
        BOOST_TEST((help.exit == CliExit::Success), command);
        BOOST_TEST(contains(help.out, std::string("usage: carobhall ") + command));
        BOOST_TEST(contains(help.out, "Exit codes"));
        BOOST_TEST(run({ command, "--version" }).out.starts_with("carobhall "));
        BOOST_TEST((run({ command, "--no-such-option" }).exit == CliExit::Invalid), command);
        BOOST_TEST(contains(run({}).errors, command));
    }
    BOOST_TEST((run({ "apply", "a", "b" }).exit == CliExit::Invalid));
    BOOST_TEST((run({ "promote", "a", "b", "--platform", "nowhere" }).exit == CliExit::Invalid));
    BOOST_TEST((run({ "dump", "127.0.0.1:99999" }).exit == CliExit::Invalid));
}

// Guards against check accepting an invalid document, which the processes would then refuse after the rollout.
BOOST_AUTO_TEST_CASE(checkReportsErrors)
{
    const TemporaryFile valid(sampleDocument());
    const CliResult accepted = run({ "check", valid.path() });
    BOOST_TEST((accepted.exit == CliExit::Success));
    BOOST_TEST(contains(accepted.out, "environment guild, digest "));

    const TemporaryFile invalid(sampleDocument("", "-1"));
    const CliResult refused = run({ "check", invalid.path() });
    BOOST_TEST((refused.exit == CliExit::Invalid));
    BOOST_TEST(contains(refused.errors, "accounts[0].share"));
    BOOST_TEST((run({ "check", "/no/such/file" }).exit == CliExit::Invalid));
    BOOST_TEST((run({ "check", "/" }).exit == CliExit::Invalid));
}

// Guards against diff hiding a changed value from an operator who is about to promote a document.
BOOST_AUTO_TEST_CASE(diffShowsValues)
{
    const TemporaryFile one(sampleDocument("first", "1"));
    const TemporaryFile sameValues(sampleDocument("second", "1.0"));
    const CliResult same = run({ "diff", one.path(), sameValues.path() });
    BOOST_TEST((same.exit == CliExit::Success));
    BOOST_TEST(contains(same.out, "comments or layout differ"));

    const TemporaryFile other(sampleDocument("first", "2"));
    const CliResult changed = run({ "diff", one.path(), other.path() });
    BOOST_TEST((changed.exit == CliExit::Failure));
    BOOST_TEST(changed.out == "~ accounts[zadar-ferries].share: 1 -> 2\n");

    // Named elements are matched by name, so an inserted one must not make all later ones appear changed.
    const TemporaryFile two(R"({"zones": [{"name": "b"}, {"name": "a", "region": "r"}], "list": [1, 2], "gone": true})");
    const TemporaryFile three(R"({"zones": [{"name": "c"}, {"name": "b"}, {"name": "a", "region": "s"}], "list": [1, 3]})");
    BOOST_TEST(run({ "diff", two.path(), three.path() }).out
               == "- gone: true\n~ list[1]: 2 -> 3\n~ zones[a].region: \"r\" -> \"s\"\n+ zones[c]: {\"name\":\"c\"}\n");
    const TemporaryFile malformed("{");
    BOOST_TEST((run({ "diff", one.path(), malformed.path() }).exit == CliExit::Invalid));
}

// Guards against a digest that includes the line end of the key file and therefore never matches the key.
BOOST_AUTO_TEST_CASE(digestIgnoresLineEnd)
{
    const TemporaryFile key("demo-key-zagreb-chamber\n");
    BOOST_TEST(run({ "digest", key.path() }).out == "cfd7b7dcd142cdcad48213b9fe4b17dddecc2c76ce855f5b5888afa8e0531160\n");
    const TemporaryFile empty("\n");
    BOOST_TEST((run({ "digest", empty.path() }).exit == CliExit::Invalid));
}

// Guards against a successful status or dump while a process is leaving, unreachable or answers with malformed JSON.
BOOST_AUTO_TEST_CASE(statusAndDump)
{
    const AdminServer ready(R"({"process":"entry-1","leaving":false,"config_version":7,"config_digest":"abc"})", true);
    const AdminServer leaving(R"({"process":"entry-2","leaving":true,"config_version":7})", false);
    const AdminServer malformed("[1", true);
    const CliResult healthy = run({ "status", ready.address() });
    BOOST_TEST((healthy.exit == CliExit::Success));
    BOOST_TEST(contains(healthy.out, "entry-1  ready  configuration version 7, digest abc"));
    const CliResult mixed = run({ "status", ready.address(), leaving.address(), "127.0.0.1:1" });
    BOOST_TEST((mixed.exit == CliExit::Failure));
    BOOST_TEST(contains(mixed.out, "entry-2  leaving"));
    BOOST_TEST(contains(mixed.out, "127.0.0.1:1  does not answer"));
    BOOST_TEST((run({ "status", malformed.address() }).exit == CliExit::Failure));

    const CliResult dump = run({ "dump", ready.address() });
    BOOST_TEST((dump.exit == CliExit::Success));
    BOOST_TEST(contains(dump.out, "\"process\" : \"entry-1\""));
    BOOST_TEST((run({ "dump", malformed.address() }).exit == CliExit::Failure));
    BOOST_TEST((run({ "dump", "127.0.0.1:1" }).exit == CliExit::Failure));
}
