#include "pistachio/connection/http/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

#include "pistachio/connection/http/connection_tracker.h"

namespace pistachio {

namespace internal {

/// A call and its result so far. It is queued until the client's thread starts it and in flight
/// until its callback runs.
struct Transfer {
  HttpCall call;
  HttpClient::Callback callback;
  HttpResult result;
  curl_slist* headers = nullptr;
  bool too_large = false;
  Clock clock;
  bool sent = false;            ///< a request may have reached the server
  bool expired = false;         ///< the time of HttpCall::send_before had passed
  bool repeat_refused = false;  ///< the request was not sent again, see HttpCall::send_once
  ConnectionTracker* tracker = nullptr;
  std::optional<curl_socket_t> new_socket;  ///< opened for this call, no request sent on it yet
  ConnectionEnds connection;                ///< connection of the last request
  bool reused = false;                      ///< the connection was open before the call
  ConnectionTracker::EventNumber request = 0;
};

/// libcurl callback that runs when a socket is created for a call.
int RememberSocket(void* user_data, curl_socket_t socket, curlsocktype /*purpose*/) {
  static_cast<Transfer*>(user_data)->new_socket = socket;
  return CURL_SOCKOPT_OK;
}

/// libcurl callback that closes a socket, at times after its call has ended.
int CloseSocket(void* user_data, curl_socket_t socket) {
  static_cast<ConnectionTracker*>(user_data)->OnClose(socket);
  return close(socket);
}

/// libcurl callback that runs before each time that the request is sent, also before it is repeated
/// on another connection.
int OnConnectionChosen(void* user_data, char* primary_ip, char* /*local_ip*/, int primary_port,
                       int local_port) {
  auto* transfer = static_cast<Transfer*>(user_data);
  transfer->connection = {std::string(primary_ip) + ":" + std::to_string(primary_port), local_port};
  transfer->reused = !transfer->new_socket;
  if (transfer->new_socket) {
    transfer->tracker->OnConnect(transfer->connection, *transfer->new_socket);
    transfer->new_socket.reset();
  }
  transfer->expired = Now(transfer->clock) >= transfer->call.send_before;
  transfer->repeat_refused = transfer->sent && transfer->call.send_once;
  if (transfer->expired || transfer->repeat_refused) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->sent = true;
  transfer->request = transfer->tracker->OnRequest(transfer->connection);
  return CURL_PREREQFUNC_OK;
}

/// libcurl write callback that appends to the body. \returns the number of bytes taken, or 0, which
/// aborts the transfer, if the body is too large.
size_t CollectBody(char* data, size_t size, size_t count, void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const size_t bytes = size * count;
  if (transfer->result.body.size() + bytes > transfer->call.max_answer_bytes) {
    transfer->too_large = true;
    return 0;
  }
  transfer->result.body.append(data, bytes);
  return bytes;
}

void SetMethodAndBody(CURL* easy, const HttpCall& call) {
  if (call.method == "GET") {
    return;
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
}

void SetHeaders(CURL* easy, Transfer& transfer) {
  // An empty value removes the header. libcurl would send `Expect: 100-continue` with larger
  // bodies, which costs a round trip.
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  for (const auto& [name, value] : transfer.call.headers) {
    std::string line = name;
    line += ": ";
    line += value;
    transfer.headers = curl_slist_append(transfer.headers, line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
}

void ConfigureHandle(CURL* easy, Transfer& transfer) {
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(transfer.call.timeout).count();
  curl_easy_setopt(easy, CURLOPT_URL, transfer.call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout > 0 ? timeout : 1);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, CollectBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnConnectionChosen);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, RememberSocket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer.tracker);
  SetMethodAndBody(easy, transfer.call);
  SetHeaders(easy, transfer);
}

void FillResult(CURL* easy, CURLcode code, Transfer& transfer) {
  if (code == CURLE_OK) {
    long status = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.result.status = static_cast<int>(status);
    return;
  }
  // The error says how the last attempt failed, which may not have been the first one.
  transfer.result.failure = transfer.sent ? HttpFailure::kMaybeSent : HttpFailure::kNotSent;
  transfer.result.reason = curl_easy_strerror(code);
  if (transfer.too_large) {
    transfer.result.reason = "answer too large";
  } else if (transfer.repeat_refused) {
    transfer.result.reason = "connection closed without an answer";
  }
  transfer.result.answer_cut_off = !transfer.result.body.empty() && !transfer.too_large;
  transfer.result.body.clear();
}

/// Shuts down the idle connections that may be as silent as the one of a call without an answer.
/// libcurl finds them closed and does not use them again.
void DropSuspectConnections(CURL* easy, CURLcode code, Transfer& transfer) {
  if (!transfer.sent) {
    return;
  }
  if (code == CURLE_OK) {
    transfer.tracker->OnAnswer(transfer.connection, transfer.request);
    return;
  }
  long header_bytes = 0;  // NOLINT(google-runtime-int)
  curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header_bytes);
  // A new connection without an answer shows that the server is slow or down, not that others are
  // silent.
  if (!transfer.reused || transfer.expired || header_bytes > 0) {
    return;
  }
  for (const int socket :
       transfer.tracker->FindSuspect(transfer.connection.first, transfer.request)) {
    shutdown(socket, SHUT_RDWR);
  }
}

}  // namespace internal

struct HttpClient::State {
  Clock clock;
  CURLM* multi = nullptr;
  std::mutex mutex;
  bool stopping = false;
  std::vector<internal::Transfer> submitted;  ///< calls not yet started
  // Used only by the client's thread.
  std::unordered_map<CURL*, internal::Transfer> in_flight;
  ConnectionTracker connections;
  std::vector<CURL*> idle_handles;  ///< reused, because creating a handle costs more than a call
  std::thread thread;

  void Run();
  /// \returns false if the client is stopping; then no call is started.
  bool StartSubmitted();
  void Start(internal::Transfer&& transfer);
  void FinishCompleted();
  void Finish(CURL* easy, CURLcode code);
  /// Ends the calls in flight with kMaybeSent and those not yet started with kNotSent.
  void FailAll();
};

void HttpClient::State::Start(internal::Transfer&& transfer) {
  CURL* easy = nullptr;
  if (this->idle_handles.empty()) {
    easy = curl_easy_init();
  } else {
    easy = this->idle_handles.back();
    this->idle_handles.pop_back();
  }
  // Nodes of the map keep their address, so libcurl may hold pointers into them.
  internal::Transfer& stored = this->in_flight.emplace(easy, std::move(transfer)).first->second;
  stored.tracker = &this->connections;
  internal::ConfigureHandle(easy, stored);
  curl_multi_add_handle(this->multi, easy);
}

bool HttpClient::State::StartSubmitted() {
  std::vector<internal::Transfer> batch;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping) {
      return false;
    }
    batch.swap(this->submitted);
  }
  for (internal::Transfer& transfer : batch) {
    this->Start(std::move(transfer));
  }
  return true;
}

void HttpClient::State::Finish(CURL* easy, CURLcode code) {
  internal::Transfer& transfer = this->in_flight.at(easy);
  internal::FillResult(easy, code, transfer);
  internal::DropSuspectConnections(easy, code, transfer);
  const HttpResult result = std::move(transfer.result);
  const Callback callback = std::move(transfer.callback);
  curl_multi_remove_handle(this->multi, easy);
  curl_slist_free_all(transfer.headers);
  this->in_flight.erase(easy);
  curl_easy_reset(easy);
  this->idle_handles.push_back(easy);
  callback(result);
}

void HttpClient::State::FinishCompleted() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      this->Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::State::FailAll() {
  while (!this->in_flight.empty()) {
    this->Finish(this->in_flight.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
  std::vector<internal::Transfer> never_sent;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    never_sent.swap(this->submitted);
  }
  for (internal::Transfer& transfer : never_sent) {
    transfer.callback(HttpResult{HttpFailure::kNotSent, "client stopped", 0, ""});
  }
}

void HttpClient::State::Run() {
  constexpr int kPollMillis = 1000;
  while (this->StartSubmitted()) {
    int running = 0;
    curl_multi_perform(this->multi, &running);
    this->FinishCompleted();
    curl_multi_poll(this->multi, nullptr, 0, kPollMillis, nullptr);
  }
  this->FailAll();
}

HttpClient::HttpClient(long max_connections_per_host,  // NOLINT(google-runtime-int)
                       Clock clock)
    : state(std::make_unique<State>()) {
  this->state->clock = std::move(clock);
  static std::once_flag initialised;
  std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  this->state->multi = curl_multi_init();
  curl_multi_setopt(this->state->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_connections_per_host);
  this->state->thread = std::thread([this] { this->state->Run(); });
}

HttpClient::~HttpClient() {
  this->Stop();
  for (CURL* easy : this->state->idle_handles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(this->state->multi);
}

void HttpClient::Send(const HttpCall& call, const Callback& callback) {
  bool accepted = false;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    accepted = !this->state->stopping;
    if (accepted) {
      internal::Transfer transfer;
      transfer.call = call;
      transfer.callback = callback;
      transfer.clock = this->state->clock;
      this->state->submitted.push_back(std::move(transfer));
    }
  }
  if (!accepted) {
    callback(HttpResult{HttpFailure::kNotSent, "client stopped", 0, ""});
    return;
  }
  curl_multi_wakeup(this->state->multi);
}

HttpResult HttpClient::SendAndWait(const HttpCall& call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> answer = promise->get_future();
  this->Send(call, [promise](const HttpResult& result) { promise->set_value(result); });
  return answer.get();
}

void HttpClient::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->stopping = true;
  }
  curl_multi_wakeup(this->state->multi);
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

}  // namespace pistachio
