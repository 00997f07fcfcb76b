"""HTTP/1.1 connections to callers and upstreams, without application logic."""
