// carobhall: the program of the entry process and of the operators' commands.

#include "carobhall/entry.h"

#include <iostream>

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

struct Command {
    std::string_view name;
    int (*run)(int argc, char **argv); ///< Gets the arguments from the command's name on.
};

constexpr std::array Commands{
    Command{ "serve", &serve },
};

} // namespace

int main(int argc, char **argv)
{
    const std::string_view wanted = argc > 1 ? std::string_view(argv[1]) : std::string_view();
    for (const Command &command : Commands) {
        if (command.name == wanted) {
            return command.run(argc - 1, argv + 1);
        }
    }
    std::cerr << "usage: carobhall COMMAND [OPTIONS]\ncommands:";
    for (const Command &command : Commands) {
        std::cerr << ' ' << command.name;
    }
    std::cerr << '\n';
    return static_cast<int>(ExitCode::InvalidSettings);
}
