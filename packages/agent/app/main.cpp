// carobhall-agent: runs one agent beside one upstream until a graceful shutdown.

#include "carobhall/agent.h"

using namespace Carobhall;

int main(int argc, char **argv)
{
    auto startUp = startUpAgent(argc, argv);
    if (const auto *const exitCode = std::get_if<ExitCode>(&startUp)) {
        return static_cast<int>(*exitCode);
    }
    auto &[settings, document] = std::get<StartUp<AgentSettings>>(startUp);
    GMainLoop *const loop = g_main_loop_new(nullptr, FALSE);
    ExitCode exitCode = ExitCode::Success;
    {
        Agent agent({ .settings = std::move(settings), .document = std::move(document), .onStopped = [loop] { g_main_loop_quit(loop); } });
        exitCode = runProcess(agent, loop);
    }
    g_main_loop_unref(loop);
    return static_cast<int>(exitCode);
}
