#include "pistachio/connection/http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <unordered_map>

#include "pistachio/connection/http/connection_room.h"
#include "pistachio/connection/http/request_memory.h"

namespace pistachio {

namespace internal {

/// State of one request, from its headers to the end of its answer.
struct Exchange {
  MHD_Connection* connection = nullptr;
  ServedRequest request;
  std::optional<ServedAnswer> answer;
  /// Length of the whole body if it is announced, else the limit.
  std::size_t expected_body = 0;
  std::size_t header_bytes = 0;     ///< memory of the headers and query arguments
  std::size_t body_capacity = 0;    ///< memory reserved for the body
  std::size_t discarded_bytes = 0;  ///< bytes of a refused body that have been read
  bool too_large = false;           ///< the body exceeds the limit
  bool without_memory = false;      ///< its bytes are not kept for want of memory
  bool dispatched = false;          ///< the handler has been called or is about to be
  bool suspended = false;           ///< the connection is suspended until the request has an answer
};

/// Longest part of a refused body that is read, so that the client gets to read the answer. The
/// system resets a connection that is closed with unread bytes.
constexpr std::size_t kMaxDiscardedBytes = kDefaultMaxHttpBodyBytes;
/// Memory of one header or query argument beside its text.
constexpr std::size_t kHeaderOverhead = 160;

/// Maximum time that Stop() waits until the last answers are sent.
constexpr std::chrono::seconds kStopTimeout{2};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

/// \returns the socket of a connection.
int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

MHD_Result CollectHeader(void* user_data, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  auto* headers = static_cast<std::map<std::string, std::string>*>(user_data);
  (*headers)[LowerCase(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectQuery(void* user_data, MHD_ValueKind /*kind*/, const char* key,
                        const char* value) {
  auto* query = static_cast<std::map<std::string, std::string>*>(user_data);
  (*query)[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result QueueAnswer(MHD_Connection* connection, const ServedAnswer& answer) {
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.content_type.c_str());
  for (const auto& [name, value] : answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned int>(answer.status), response);
  MHD_destroy_response(response);
  return queued;
}

/// \returns the answer to requests that are open when the server stops. It promises nothing: the
/// handler may have the request, and an earlier attempt of it may have taken effect elsewhere.
ServedAnswer StoppingAnswer() {
  ServedAnswer answer;
  answer.status = MHD_HTTP_GATEWAY_TIMEOUT;
  answer.body = R"({"error":"stopping"})";
  return answer;
}

/// \returns the answer to a request that the server has no memory for. It promises nothing: an
/// earlier attempt of it may have taken effect.
ServedAnswer WithoutMemoryAnswer() {
  ServedAnswer answer;
  answer.status = MHD_HTTP_GATEWAY_TIMEOUT;
  answer.body = R"({"error":"no memory for the request"})";
  return answer;
}

/// \returns the announced length of the body; 0 if it is not announced, the largest value if it is
/// too long to be represented.
std::size_t AnnouncedLength(const ServedRequest& request) {
  const std::string text = request.Header("content-length");
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return error == std::errc::result_out_of_range ? SIZE_MAX : length;
}

std::size_t HeaderBytes(const ServedRequest& request) {
  std::size_t bytes = request.path.size();
  for (const auto* fields : {&request.headers, &request.query}) {
    for (const auto& [name, value] : *fields) {
      bytes += name.size() + value.size() + kHeaderOverhead;
    }
  }
  return bytes;
}

/// \returns the answer to a request with a body over \a limit bytes.
ServedAnswer TooLargeAnswer(std::size_t limit) {
  ServedAnswer answer;
  answer.status = MHD_HTTP_CONTENT_TOO_LARGE;
  answer.body = R"({"error":"body over )" + std::to_string(limit) + R"( bytes"})";
  return answer;
}

}  // namespace internal

std::string ListenAddress::str() const { return this->ip + ":" + std::to_string(this->port); }

std::optional<ListenAddress> ParseListenAddress(const std::string& text) {
  constexpr unsigned long kMaxPort = 65535;  // NOLINT(google-runtime-int)
  constexpr std::size_t kMaxPortDigits = 5;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ListenAddress address;
  address.ip = text.substr(0, colon);
  in_addr parsed_ip{};
  const std::string port = text.substr(colon + 1);
  const bool digits =
      !port.empty() && port.size() <= kMaxPortDigits &&
      std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed_ip) != 1 || !digits ||
      std::stoul(port) > kMaxPort) {
    return std::nullopt;
  }
  address.port = static_cast<std::uint16_t>(std::stoul(port));
  return address;
}

struct HttpServer::State {
  explicit State(const HttpServerLimits& limits)
      : limits(limits),
        max_body_bytes(limits.max_body_bytes),
        memory(limits.request_memory_bytes),
        room(limits.max_connections - limits.max_connections / 8) {}

  HttpServerLimits limits;
  std::atomic<std::size_t> max_body_bytes;  ///< replaces that of `limits`
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::string error;
  std::atomic<ExchangeId> next_exchange{1};
  std::mutex mutex;
  std::condition_variable exchange_closed;
  bool stopping = false;
  std::unordered_map<ExchangeId, internal::Exchange> exchanges;
  RequestMemory memory;         ///< of `exchanges`
  ConnectionRoom room;          ///< connections by their sockets
  std::uint64_t too_large = 0;  ///< requests so far

  ExchangeId OpenExchange(MHD_Connection* connection, const char* method, const char* path);
  /// Reserves memory for a request; the bytes of others may be dropped for it.
  void Reserve(internal::Exchange* exchange, std::size_t body_capacity);
  /// Drops the bytes of a request that is not served.
  void Drop(internal::Exchange* exchange);
  void RefuseTooLarge(internal::Exchange* exchange);
  /// \returns the answer to a request that is not served, or nothing.
  std::optional<ServedAnswer> RefusalOf(const internal::Exchange& exchange) const;
  /// Answers a request that is refused before its body arrives, if the body is too long to be read
  /// or the client waits for the server's consent to send it.
  MHD_Result AnswerEarly(ExchangeId id, MHD_Connection* connection);
  MHD_Result AppendBody(ExchangeId id, const char* data, std::size_t* bytes);
  MHD_Result Dispatch(ExchangeId id, MHD_Connection* connection);
  void CloseExchange(ExchangeId id);
  void WaitUntilClosed(const std::vector<ExchangeId>& open);

  static MHD_Result OnAccess(void* self, MHD_Connection* connection, const char* path,
                             const char* method, const char* version, const char* data,
                             size_t* bytes, void** exchange);
  static void OnCompleted(void* self, MHD_Connection* connection, void** exchange,
                          MHD_RequestTerminationCode code);
  static void OnConnection(void* self, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
};

ExchangeId HttpServer::State::OpenExchange(MHD_Connection* connection, const char* method,
                                           const char* path) {
  const ExchangeId id = this->next_exchange.fetch_add(1);
  internal::Exchange exchange;
  exchange.connection = connection;
  exchange.request.exchange = id;
  exchange.request.method = method;
  exchange.request.path = path;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, internal::CollectHeader,
                            &exchange.request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, internal::CollectQuery,
                            &exchange.request.query);
  const std::size_t announced = internal::AnnouncedLength(exchange.request);
  const std::size_t limit = this->max_body_bytes;
  exchange.expected_body = announced == 0 ? limit : announced;
  exchange.header_bytes = internal::HeaderBytes(exchange.request);
  const std::lock_guard<std::mutex> lock(this->mutex);
  internal::Exchange& opened = this->exchanges.emplace(id, std::move(exchange)).first->second;
  if (announced > limit) {
    this->RefuseTooLarge(&opened);
  } else {
    this->Reserve(&opened, 0);
  }
  return id;
}

void HttpServer::State::Drop(internal::Exchange* exchange) {
  std::string().swap(exchange->request.body);  // an assignment may keep the memory
  exchange->request.headers.clear();
  exchange->request.query.clear();
  exchange->body_capacity = 0;
}

void HttpServer::State::RefuseTooLarge(internal::Exchange* exchange) {
  exchange->too_large = true;
  ++this->too_large;
  this->memory.Close(exchange->request.exchange);
  this->Drop(exchange);
}

void HttpServer::State::Reserve(internal::Exchange* exchange, std::size_t body_capacity) {
  const RequestMemory::Reservation reservation =
      this->memory.Reserve(exchange->request.exchange, exchange->header_bytes + body_capacity);
  for (const RequestMemory::RequestId id : reservation.evicted) {
    internal::Exchange& evicted = this->exchanges.at(id);
    evicted.without_memory = true;
    this->Drop(&evicted);
  }
  if (reservation.granted) {
    exchange->body_capacity = body_capacity;
  } else {
    exchange->without_memory = true;
    this->Drop(exchange);
  }
}

std::optional<ServedAnswer> HttpServer::State::RefusalOf(const internal::Exchange& exchange) const {
  if (exchange.too_large) {
    return internal::TooLargeAnswer(this->max_body_bytes);
  }
  if (exchange.without_memory) {
    return internal::WithoutMemoryAnswer();
  }
  return std::nullopt;
}

MHD_Result HttpServer::State::AnswerEarly(ExchangeId id, MHD_Connection* connection) {
  std::optional<ServedAnswer> refusal;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const internal::Exchange& exchange = this->exchanges.at(id);
    const char* const expectation =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT);
    if (exchange.expected_body > internal::kMaxDiscardedBytes || expectation != nullptr) {
      refusal = this->RefusalOf(exchange);
    }
  }
  if (!refusal) {
    return MHD_YES;
  }
  refusal->headers.emplace_back(MHD_HTTP_HEADER_CONNECTION, "close");
  return internal::QueueAnswer(connection, *refusal);
}

MHD_Result HttpServer::State::AppendBody(ExchangeId id, const char* data, std::size_t* bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  internal::Exchange& exchange = this->exchanges.at(id);
  std::string& body = exchange.request.body;
  const std::size_t needed = body.size() + *bytes;
  if (!exchange.too_large && !exchange.without_memory) {
    if (needed > this->max_body_bytes) {
      this->RefuseTooLarge(&exchange);
    } else if (needed > exchange.body_capacity) {
      this->Reserve(&exchange,
                    GrownBodyCapacity(needed, std::min<std::size_t>(exchange.expected_body,
                                                                    this->max_body_bytes)));
      body.reserve(exchange.body_capacity);
    }
  }
  if (exchange.too_large || exchange.without_memory) {
    exchange.discarded_bytes += *bytes;
  } else {
    body.append(data, *bytes);
  }
  *bytes = 0;
  return exchange.discarded_bytes > internal::kMaxDiscardedBytes ? MHD_NO : MHD_YES;
}

MHD_Result HttpServer::State::Dispatch(ExchangeId id, MHD_Connection* connection) {
  ServedRequest request;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    internal::Exchange& exchange = this->exchanges.at(id);
    if (exchange.answer) {
      return internal::QueueAnswer(connection, *exchange.answer);
    }
    if (const auto refusal = this->RefusalOf(exchange)) {
      return internal::QueueAnswer(connection, *refusal);
    }
    if (exchange.dispatched) {
      return MHD_YES;
    }
    if (this->stopping) {
      // Answers at once, because libmicrohttpd aborts the process if it is stopped while a
      // connection is suspended.
      return internal::QueueAnswer(connection, internal::StoppingAnswer());
    }
    exchange.dispatched = true;
    this->memory.Complete(id);
    this->room.OnRequest(internal::SocketOf(connection));
    exchange.suspended = true;
    request = std::move(exchange.request);
    MHD_suspend_connection(connection);
  }
  this->handler(request);
  return MHD_YES;
}

void HttpServer::State::CloseExchange(ExchangeId id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->memory.Close(id);
  this->exchanges.erase(id);
  this->exchange_closed.notify_all();
}

void HttpServer::State::WaitUntilClosed(const std::vector<ExchangeId>& open) {
  // When libmicrohttpd is stopped, it cuts off answers that are not sent completely.
  std::unique_lock<std::mutex> lock(this->mutex);
  this->exchange_closed.wait_for(lock, internal::kStopTimeout, [this, &open] {
    return std::none_of(open.begin(), open.end(),
                        [this](ExchangeId id) { return this->exchanges.count(id) != 0; });
  });
}

MHD_Result HttpServer::State::OnAccess(void* self, MHD_Connection* connection, const char* path,
                                       const char* method, const char* /*version*/,
                                       const char* data, size_t* bytes, void** exchange) {
  auto* state = static_cast<State*>(self);
  if (*exchange == nullptr) {
    // libmicrohttpd keeps a user-defined pointer for each request. The server stores the exchange
    // id in the pointer's value.
    const ExchangeId opened = state->OpenExchange(connection, method, path);
    *exchange = reinterpret_cast<void*>(opened);  // NOLINT(performance-no-int-to-ptr)
    return state->AnswerEarly(opened, connection);
  }
  const auto id = reinterpret_cast<ExchangeId>(*exchange);
  if (*bytes != 0) {
    return state->AppendBody(id, data, bytes);
  }
  return state->Dispatch(id, connection);
}

void HttpServer::State::OnCompleted(void* self, MHD_Connection* /*connection*/, void** exchange,
                                    MHD_RequestTerminationCode /*code*/) {
  if (*exchange != nullptr) {
    static_cast<State*>(self)->CloseExchange(reinterpret_cast<ExchangeId>(*exchange));
  }
}

void HttpServer::State::OnConnection(void* self, MHD_Connection* connection, void** /*context*/,
                                     MHD_ConnectionNotificationCode code) {
  auto* state = static_cast<State*>(self);
  const int socket = internal::SocketOf(connection);
  const std::lock_guard<std::mutex> lock(state->mutex);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    state->room.OnClose(socket);
  } else if (const auto victim = state->room.OnOpen(socket)) {
    // libmicrohttpd sees the end of the connection and closes the socket, not before it has
    // reported that to this function.
    shutdown(*victim, SHUT_RDWR);
  }
}

HttpServer::HttpServer(const HttpServerLimits& limits, Handler handler)
    : state(std::make_unique<State>(limits)) {
  this->state->handler = std::move(handler);
}

HttpServer::~HttpServer() { this->Stop(); }

std::optional<ListenAddress> HttpServer::Listen(const ListenAddress& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr) != 1) {
    this->state->error = address.ip + " is not an IPv4 address";
    return std::nullopt;
  }
  const HttpServerLimits& limits = this->state->limits;
  this->state->daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, address.port, nullptr,
      nullptr, &State::OnAccess, this->state.get(), MHD_OPTION_NOTIFY_COMPLETED,
      &State::OnCompleted, this->state.get(), MHD_OPTION_NOTIFY_CONNECTION, &State::OnConnection,
      this->state.get(), MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_CONNECTION_LIMIT,
      limits.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.connection_memory_bytes,
      MHD_OPTION_THREAD_POOL_SIZE, limits.threads, MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(limits.idle_timeout.count()), MHD_OPTION_END);
  if (this->state->daemon == nullptr) {
    this->state->error = "cannot listen on " + address.str() + "; is the port in use?";
    return std::nullopt;
  }
  const MHD_DaemonInfo* info = MHD_get_daemon_info(this->state->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return ListenAddress{address.ip, info == nullptr ? address.port : info->port};
}

bool HttpServer::Answer(ExchangeId exchange, const ServedAnswer& answer) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  const auto found = this->state->exchanges.find(exchange);
  if (found == this->state->exchanges.end() || found->second.answer) {
    return false;
  }
  found->second.answer = answer;
  this->state->room.OnAnswer(internal::SocketOf(found->second.connection));
  if (found->second.suspended) {
    found->second.suspended = false;
    MHD_resume_connection(found->second.connection);
  }
  return true;
}

void HttpServer::SetMaxBodyBytes(std::size_t bytes) { this->state->max_body_bytes = bytes; }

HttpServerUsage HttpServer::usage() const {
  HttpServerUsage usage;
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  usage.connections = this->state->room.open();
  usage.closed_connections = this->state->room.closed();
  usage.requests = this->state->exchanges.size();
  for (const auto& [id, exchange] : this->state->exchanges) {
    usage.body_bytes += exchange.request.body.size();
  }
  usage.request_memory = this->state->memory.used();
  usage.too_large = this->state->too_large;
  usage.without_memory = this->state->memory.refused();
  return usage;
}

void HttpServer::StopListening() {
  if (this->state->daemon != nullptr) {
    const MHD_socket socket = MHD_quiesce_daemon(this->state->daemon);
    if (socket != MHD_INVALID_SOCKET) {
      close(socket);
    }
  }
}

void HttpServer::Stop() {
  if (this->state->daemon == nullptr) {
    return;
  }
  std::vector<ExchangeId> open;
  std::vector<ExchangeId> handled;
  {
    // From here on, no request is given to the handler.
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->stopping = true;
    for (const auto& [id, exchange] : this->state->exchanges) {
      open.push_back(id);
      if (exchange.dispatched) {
        handled.push_back(id);
      }
    }
  }
  for (const ExchangeId id : handled) {
    this->Answer(id, internal::StoppingAnswer());
  }
  this->state->WaitUntilClosed(open);
  MHD_stop_daemon(this->state->daemon);
  this->state->daemon = nullptr;
}

const std::string& HttpServer::last_error() const { return this->state->error; }

}  // namespace pistachio
