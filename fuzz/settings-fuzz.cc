// Reader of settings files, for each role.
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "oriolelever/settings.h"

using namespace oriolelever;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto path = std::filesystem::temp_directory_path()
        / ("oriolelever-fuzz-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(path, std::ios::binary)
        .write(reinterpret_cast<const char *>(data), static_cast<std::streamsize>(size));
    for (const auto *const role : {"balancer", "agent", "operator"}) {
        std::vector<Problem> problems;
        const auto specs = settingSpecs(role);
        const auto settings = readSettings(path, specs, problems);
        for (const auto &problem : problems) {
            if (toString(problem).empty()) {
                std::abort();
            }
        }
        if (!problems.empty()) {
            continue;
        }
        for (const auto &spec : specs) {
            (void)settings.text(spec.section, spec.key);
        }
    }
    std::filesystem::remove(path);
    return 0;
}
