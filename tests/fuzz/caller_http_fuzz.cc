#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "pistachio/process/daemon/caller_request.h"
#include "pistachio/process/daemon/secrets.h"

/// Splits the input into a path and three headers and reads them as a caller's request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  pistachio::ServedRequest request;
  request.method = "POST";
  std::size_t from = 0;
  std::string* const parts[] = {&request.path, &request.headers["x-timeout-ms"],
                                &request.headers["x-idempotent"], &request.headers["x-request-id"]};
  for (std::string* part : parts) {
    const std::size_t end = std::min(input.find('\n', from), size);
    *part = input.substr(from, end - from);
    from = std::min(end + 1, size);
  }
  pistachio::CallerRequestError error;
  const auto read = pistachio::ReadCallerRequest(request, &error);
  const bool id_kept = !read || !read->id || pistachio::ParseRequestId(read->id->str()) == read->id;
  if (!id_kept || (!read && error.status == 0)) {
    std::abort();
  }
  pistachio::SubtreeOfBearer({{"token", "*"}}, request.path);
  return 0;
}
