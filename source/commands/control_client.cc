#include "commands/control_client.h"

#include <cctype>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>

#include "connection/endpoint_call.h"
#include "connection/endpoint_client.h"

namespace marjoramsill {

std::optional<control_response> Fetch(const control_request& request) {
  const auto response = std::make_shared<control_response>();
  const auto end = std::make_shared<std::promise<endpoint_call_end>>();
  endpoint_call call;
  call.method = request.method;
  call.url = "http://" + request.address + request.target;
  call.body = request.body;
  call.fields = {{"Content-Type", "application/octet-stream"}};
  call.total_timeout = request.timeout;
  call.on_headers = [response](int status, const http_field_list& fields) {
    response->status = status;
    response->fields = fields;
  };
  call.on_data = [response](const std::string& data) {
    response->body += data;
  };
  call.on_end = [end](endpoint_call_end kind) { end->set_value(kind); };
  endpoint_client client;
  client.Start(std::move(call));
  if (end->get_future().get() == endpoint_call_end::kComplete) return *response;
  std::cerr << "marjoramsill: no response from the VM at " << request.address
            << "\n";
  return std::nullopt;
}

std::string EncodeQuery(const std::string& value) {
  std::string encoded;
  for (const char c : value) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                       c == '-' || c == '_' || c == '.' || c == '/';
    if (plain) {
      encoded += c;
      continue;
    }
    char code[4];
    std::snprintf(code, sizeof(code), "%%%02X", static_cast<unsigned char>(c));
    encoded += code;
  }
  return encoded;
}

}  // namespace marjoramsill
