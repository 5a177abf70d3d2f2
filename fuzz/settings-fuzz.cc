// Reader of settings files, for each role.
#include <array>
#include <cstdlib>
#include <string>

#include <sys/mman.h>
#include <unistd.h>

#include "oriolelever/settings.h"

using namespace oriolelever;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // A file in memory and specifications that are made once: both would take most of the time otherwise.
    static const std::array specsOfRoles{settingSpecs("balancer"), settingSpecs("agent"),
                                         settingSpecs("operator")};
    static const int file = ::memfd_create("settings", 0);
    static const auto path = "/proc/self/fd/" + std::to_string(file);
    require(::ftruncate(file, 0) == 0 && ::pwrite(file, data, size, 0) == static_cast<ssize_t>(size));
    for (const auto &specs : specsOfRoles) {
        std::vector<Problem> problems;
        const auto settings = readSettings(path, specs, problems);
        for (const auto &problem : problems) {
            require(!toString(problem).empty());
        }
        if (!problems.empty()) {
            continue;
        }
        for (const auto &spec : specs) {
            static_cast<void>(settings.text(spec.section, spec.key));
        }
    }
    return 0;
}
