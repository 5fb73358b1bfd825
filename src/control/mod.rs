pub mod settings;
pub mod wire;
