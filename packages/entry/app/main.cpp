// carobhall: runs the entry process ("carobhall serve") and the operators' commands.

#include "carobhall/cli.h"
#include "carobhall/entry.h"

using namespace Carobhall;

namespace
{

int serve(int argc, char **argv)
{
    auto startUp = startUpEntry(argc, argv);
    if (const auto *const exitCode = std::get_if<ExitCode>(&startUp)) {
        return static_cast<int>(*exitCode);
    }
    auto &[settings, document] = std::get<StartUp<EntrySettings>>(startUp);
    GMainLoop *const loop = g_main_loop_new(nullptr, FALSE);
    ExitCode exitCode = ExitCode::Success;
    {
        Entry entry({ .settings = std::move(settings), .document = std::move(document), .onStopped = [loop] { g_main_loop_quit(loop); } });
        exitCode = runProcess(entry, loop);
    }
    g_main_loop_unref(loop);
    return static_cast<int>(exitCode);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "serve") {
        return serve(argc - 1, argv + 1);
    }
    return runCli(argc, argv);
}
