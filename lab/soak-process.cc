#include "soak-process.h"

#include <csignal>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

#include "oriolelever/process-metrics.h"

namespace oriolelever::lab {

namespace {

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (auto &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

Result<void> ChildProcess::start(const ProcessOptions &options)
{
    std::vector<std::string> arguments{options.program};
    arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
    auto environment = options.environment;
    const auto argumentPointers = pointersTo(arguments);
    const auto environmentPointers = pointersTo(environment);
    const int output = ::open(options.output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (output < 0) {
        return fail(Code::FileUnreadable, fmt::format("file \"{}\" cannot be written", options.output));
    }
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // The soak's own sockets must close when it closes them.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(options.program.c_str(), argumentPointers.data(), environmentPointers.data());
        ::_exit(127);
    }
    ::close(output);
    if (pid < 0) {
        return fail(Code::FileUnreadable, fmt::format("program \"{}\" cannot be started", options.program));
    }
    m_pid = pid;
    return {};
}

void ChildProcess::send(int signal) const
{
    if (m_pid > 0) {
        ::kill(m_pid, signal);
    }
}

std::optional<std::string> ChildProcess::takeEnd()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    if (WIFSIGNALED(status)) {
        return fmt::format("signal {}", WTERMSIG(status));
    }
    return fmt::format("status {}", WEXITSTATUS(status));
}

std::uint64_t ChildProcess::residentBytes() const
{
    if (m_pid <= 0) {
        return 0;
    }
    return residentMemory(m_pid);
}

} // namespace oriolelever::lab
