// Decoders of rows, announcements and of the exchanges between processes.
#include <cstdlib>
#include <string>

#include "oriolelever/dissem.h"
#include "oriolelever/model.h"
#include "oriolelever/stability.h"

using namespace oriolelever;

namespace {

template<typename Decode>
void attempt(Decode decode)
{
    handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decode());
            return true;
        },
        [](const Error &error) {
            if (error.text.empty()) {
                std::abort();
            }
            return false;
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    attempt([&] { return decodeServiceRow(bytes); });
    attempt([&] { return decodeZoneRow(bytes); });
    attempt([&] { return decodeServerRow(bytes); });
    attempt([&] { return decodeExchange(bytes); });
    attempt([&] { return decodeInForceQuery(bytes); });
    attempt([&] { return decodeInForceReport(bytes); });
    attempt([&]() -> Result<bool> {
        BOOST_LEAF_AUTO(announcement, decodeAnnouncement(bytes));
        BOOST_LEAF_AUTO(again, decodeAnnouncement(encodeAnnouncement(announcement)));
        if (again != announcement) {
            std::abort();
        }
        return true;
    });
    return 0;
}
