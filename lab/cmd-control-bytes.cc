#include "commands.h"

#include <sstream>
#include <thread>

#include <absl/flags/flag.h>

#include <absl/strings/str_split.h>
#include <curl/curl.h>
#include <fmt/format.h>

#include "flags.h"

ABSL_FLAG(std::string, admin, "", "ADDRESS:PORT of the processes' metrics, separated by commas");
ABSL_FLAG(int, seconds, 20, "how long the command runs");

namespace oriolelever::lab {

namespace {

constexpr std::string_view controlMetric = "oriolelever_control_bytes_total";
constexpr long callTimeoutMillis = 2000;

std::size_t append(char *data, std::size_t size, std::size_t count, void *out)
{
    static_cast<std::string *>(out)->append(data, size * count);
    return size * count;
}

std::string fetchMetrics(const std::string &admin)
{
    std::string text;
    CURL *const handle = curl_easy_init();
    const auto url = "http://" + admin + "/metrics";
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, callTimeoutMillis);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &text);
    curl_easy_perform(handle);
    curl_easy_cleanup(handle);
    return text;
}

// Sum of the metric over its labels; 0 when the process does not answer.
double controlBytes(const std::string &admin)
{
    std::istringstream in(fetchMetrics(admin));
    double sum = 0;
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with(controlMetric)) {
            continue;
        }
        sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

int runControlBytes(Arguments arguments)
{
    if (!arguments.empty()) {
        return usageError(fmt::format("argument \"{}\" is not expected", arguments.front()));
    }
    const std::vector<std::string> admins
        = absl::StrSplit(absl::GetFlag(FLAGS_admin), ',', absl::SkipEmpty());
    const int seconds = absl::GetFlag(FLAGS_seconds);
    if (admins.empty() || seconds <= 0) {
        return usageError("control-bytes needs --admin and a --seconds above 0");
    }
    std::vector<double> before;
    for (const auto &admin : admins) {
        before.push_back(controlBytes(admin));
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    double sum = 0;
    for (std::size_t index = 0; index < admins.size(); ++index) {
        const auto after = controlBytes(admins[index]);
        // A process that restarted counts from 0 again.
        sum += after < before[index] ? after : after - before[index];
    }
    fmt::print("control bytes per second per balancer: {:.0f}\n",
               sum / static_cast<double>(seconds) / static_cast<double>(admins.size()));
    return exitOk;
}

} // namespace

Command controlBytesCommand()
{
    return {.name = "control-bytes",
            .usage = "",
            .summary = "Prints the mean rate of control traffic of running processes.",
            .flags = {"admin", "seconds"},
            .run = runControlBytes};
}

} // namespace oriolelever::lab
