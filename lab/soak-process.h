/// A process that the soak starts, signals and ends; it ends with the soak, however that ends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "oriolelever/codes.h"

namespace oriolelever::lab {

struct ProcessOptions
{
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment; ///< "NAME=value", in full.
    std::string output; ///< File that standard output and errors are appended to.
};

class ChildProcess
{
public:
    ChildProcess() = default;
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// Fails with `Code::FileUnreadable` if the process cannot be made.
    Result<void> start(const ProcessOptions &options);

    /// Sends a signal; nothing if the process has ended.
    void send(int signal) const;

    /// How the process ended, in words, once after it did.
    std::optional<std::string> takeEnd();

    bool isRunning() const
    {
        return m_pid > 0;
    }

    /// Resident memory; 0 if the process has ended.
    std::uint64_t residentBytes() const;

private:
    pid_t m_pid = 0;
};

} // namespace oriolelever::lab
